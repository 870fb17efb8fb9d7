package token

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func testSecret(id byte) Secret {
	return Secret{ID: id, Value: bytes.Repeat([]byte{id ^ 0x5a}, 32)}
}

func newTestKeyring(t interface{ Fatal(...any) }, secrets ...Secret) *Keyring {
	r, err := NewKeyring(secrets...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func drawToken(t *rapid.T) Token {
	return Token{
		Purpose:     rapid.SampledFrom([]Purpose{PurposeKey, PurposeTicket}).Draw(t, "purpose"),
		Org:         rapid.Uint64().Draw(t, "org"),
		Session:     rapid.Uint64().Draw(t, "session"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Nonce:       Nonce(rapid.SliceOfN(rapid.Byte(), nonceSize, nonceSize).Draw(t, "nonce")),
		Expires:     time.Unix(int64(rapid.Uint32().Draw(t, "expires")), 0),
		VM:          rapid.StringMatching(`[a-z0-9-]{0,64}`).Draw(t, "vm"),
	}
}

// The signing secret is rotated: a new one has been added on all routers, and some have
// not yet read the file that makes it the first. Each router must accept tickets and
// keys that any router has signed, before or after the rotation; otherwise a session
// loses its cached prefix, or a retried request may run twice. Anything else must be
// rejected: a changed byte, a ticket used as a key or the reverse, a token signed with a
// removed secret.
func TestRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawToken(t)
		r := newTestKeyring(t, testSecret(1))
		sealed := r.Seal(want)
		if err := r.Set(testSecret(2), testSecret(1)); err != nil {
			t.Fatal(err)
		}
		lagging := newTestKeyring(t, testSecret(1), testSecret(2)) // has the new secret, signs with the previous one
		for _, s := range []string{sealed, r.Seal(want), lagging.Seal(want)} {
			for _, opener := range []*Keyring{r, lagging} {
				if got, err := opener.Open(s, want.Purpose); err != nil || got != want {
					t.Fatalf("got %+v, %v, want %+v", got, err, want)
				}
			}
		}
		// 'k'^'t'^want.Purpose is the purpose that the token does not have.
		if _, err := r.Open(sealed, 'k'^'t'^want.Purpose); !errors.Is(err, ErrPurpose) {
			t.Fatalf("opened as another kind of token: %v", err)
		}
		at := rapid.IntRange(0, len(sealed)-1).Draw(t, "at")
		forged := sealed[:at] + string(rapid.Byte().Filter(func(b byte) bool { return b != sealed[at] }).Draw(t, "byte")) + sealed[at+1:]
		if _, err := r.Open(forged, want.Purpose); err == nil {
			t.Fatalf("a token with byte %d changed was accepted", at)
		}
		if _, err := newTestKeyring(t, testSecret(2)).Open(sealed, want.Purpose); !errors.Is(err, ErrForged) {
			t.Fatalf("token signed with a removed secret: %v", err)
		}
	})
}

// A token has a single encoding. If a changed text were accepted as the same key, two
// requests with that key would carry different texts.
func FuzzOpen(f *testing.F) {
	r := newTestKeyring(f, testSecret(2), testSecret(1))
	sealed := r.Seal(Token{Purpose: PurposeKey, VM: "vm-12", Expires: time.Unix(1<<31, 0)})
	f.Add(sealed)
	f.Add(sealed[:20] + "\n" + sealed[20:])
	f.Add(sealed[:len(sealed)-1] + string(sealed[len(sealed)-1]+1))
	f.Add(newTestKeyring(f, testSecret(1)).Seal(Token{Purpose: PurposeKey}))
	f.Add("")
	f.Add(strings.Repeat("A", maxEncodedLen))
	f.Fuzz(func(t *testing.T, s string) {
		got, err := r.Open(s, PurposeKey)
		if err == nil && r.Seal(got) != s && newTestKeyring(t, testSecret(1)).Seal(got) != s {
			t.Errorf("%q was accepted but is not the encoding that Seal returns", s)
		}
	})
}

// A secrets file with a mistake is rejected. The error must not contain a secret, because
// errors are logged, and whatever is accepted must be valid for a Keyring.
func FuzzParseSecrets(f *testing.F) {
	f.Add("# made on Monday\n2:" + strings.Repeat("5e", 32) + "\n\n1:" + strings.Repeat("c4", 16) + "\r\n")
	f.Add("2:" + strings.Repeat("5e", 16))
	f.Add("256:00\n")
	f.Add("1:" + strings.Repeat("zz", 16) + "\n")
	f.Add(":\n")
	f.Fuzz(func(t *testing.T, content string) {
		secrets, err := ParseSecrets(content)
		if err == nil {
			if _, err := NewKeyring(secrets...); err != nil {
				t.Errorf("parsed from %q, rejected by NewKeyring: %v", content, err)
			}
			return
		}
		for line := range strings.Lines(content) {
			if _, value, _ := strings.Cut(strings.TrimSpace(line), ":"); len(value) >= minSecretLen && strings.Contains(err.Error(), value) {
				t.Errorf("the error %q contains a secret", err)
			}
		}
	})
}

// A router reads the file while a deployment tool is still writing it. The first 16 to
// 31 bytes of a secret are valid hexadecimal too, so the router would sign with half a
// secret and every other router would reject its tokens.
func TestHalfWrittenSecretIsRefused(t *testing.T) {
	content := "1:" + strings.Repeat("5e", 32) + "\n"
	for n := 1; n < len(content); n++ {
		if _, err := ParseSecrets(content[:n]); err == nil {
			t.Errorf("the first %d of %d bytes were accepted as the whole file", n, len(content))
		}
	}
}

// A secret ends up in a log line or an error, through any verb of fmt, slog or JSON. The
// value must not appear, neither as text, nor in hexadecimal (626f6f6b is "book"), nor
// as decimal bytes (98 111 is "bo"); otherwise whoever reads it can sign tokens.
func TestSecretsNeverPrint(t *testing.T) {
	s := Secret{ID: 7, Value: []byte("the-booking-secret")}
	holder := struct{ Secrets []Secret }{[]Secret{s}}
	var log bytes.Buffer
	slog.New(slog.NewTextHandler(&log, nil)).Info("x", "secret", s, "holder", holder)
	slog.New(slog.NewJSONHandler(&log, nil)).Info("x", "secret", s, "holder", holder)
	j, err := json.Marshal(holder)
	out := fmt.Sprintf("%v %+v %#v %s %x %d %q %v", s, s, s, s, s, s, &s, holder) + log.String() + string(j)
	if err != nil || strings.Contains(out, "booking") || strings.Contains(out, "626f6f6b") || strings.Contains(out, "98 111") {
		t.Errorf("error %v, or a secret in %s", err, out)
	}
}
