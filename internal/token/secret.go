package token

import (
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// minSecretLen is the shortest secret in bytes: as strong as its signatures.
const minSecretLen = 16

// Secret is a signing key with the id by which tokens name it. It never prints
// its value, in whatever format or log line it ends up.
type Secret struct {
	ID    byte
	Value []byte
}

// Equal reports whether o is the same secret under the same id.
func (s Secret) Equal(o Secret) bool {
	return s.ID == o.ID && subtle.ConstantTimeCompare(s.Value, o.Value) == 1
}

// redacted stands in for the value of a secret.
const redacted = "[redacted]"

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, strconv.Itoa(int(s.ID))+":"+redacted)
}

// MarshalText implements encoding.TextMarshaler, for JSON and log lines.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(fmt.Sprint(s)), nil
}

// ParseSecrets reads the content of a file of secrets: one id:hex a line, the
// one to sign with first; blank lines and lines that begin with # are skipped.
// Its errors name lines and never repeat them.
//
// The last line must end with a line break. A file that is read while it is
// being written is cut short somewhere, and half of a secret is as good
// hexadecimal as the whole.
func ParseSecrets(content string) ([]Secret, error) {
	if content != "" && !strings.HasSuffix(content, "\n") {
		return nil, errors.New("token: the last line has no end: the file may be half written")
	}
	var secrets []Secret
	n := 0
	for line := range strings.Lines(content) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		s, err := parseSecret(line)
		if err != nil {
			return nil, errors.Wrapf(err, "token: line %d", n)
		}
		secrets = append(secrets, s)
	}
	return secrets, checkSecrets(secrets)
}

func parseSecret(line string) (Secret, error) {
	id, value, ok := strings.Cut(line, ":")
	n, err := strconv.ParseUint(id, 10, 8)
	if !ok || err != nil {
		return Secret{}, errors.New("want id:hex with an id from 0 to 255")
	}
	b, err := hex.DecodeString(value)
	if err != nil {
		return Secret{}, errors.Errorf("secret %d is not hexadecimal", n)
	}
	return Secret{ID: byte(n), Value: b}, nil
}

// checkSecrets returns what is wrong with the secrets of a Ring.
func checkSecrets(secrets []Secret) error {
	if len(secrets) == 0 {
		return errors.New("token: no secret")
	}
	seen := make(map[byte]bool, len(secrets))
	for _, s := range secrets {
		if seen[s.ID] {
			return errors.Errorf("token: two secrets with id %d", s.ID)
		}
		if len(s.Value) < minSecretLen {
			return errors.Errorf("token: secret %d is shorter than %d bytes", s.ID, minSecretLen)
		}
		seen[s.ID] = true
	}
	return nil
}
