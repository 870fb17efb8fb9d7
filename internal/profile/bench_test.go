package profile

import (
	"fmt"
	"strings"
	"testing"
)

// organisations returns a YAML file of n organisations.
func organisations(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "kind: organisation\nname: org-%d\nweight: 2\nconcurrency: 30\nprofiles: [a, b, c, d, e]\nkeys:\n  - id: k\n    sha256: %s\n---\n", i, HashKey(fmt.Sprint(i)))
	}
	return []byte(b.String())
}

// BenchmarkRead measures how long the command line takes to read a file.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{140, 1400, 14000} {
		text := organisations(n)
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if docs, problems := Read("f", text); len(docs) != n {
					b.Fatal(problems)
				}
			}
		})
	}
}

// BenchmarkDecode measures how long a router takes to decode one object.
func BenchmarkDecode(b *testing.B) {
	docs, _ := Read("f", organisations(1))
	ref := docs[0].Object.Ref()
	value, err := Encode(docs[0].Object)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		if _, err := Decode(ref, value); err != nil {
			b.Fatal(err)
		}
	}
}
