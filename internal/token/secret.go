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

// minSecretLen is the shortest secret in bytes: no shorter than the MACs made with it.
const minSecretLen = 16

// Secret is a signing key and the ID by which tokens refer to it. All formatting and
// marshalling redacts its value.
type Secret struct {
	ID    byte
	Value []byte
}

// Equal reports whether o has the same ID and value. It compares the values in constant
// time.
func (s Secret) Equal(o Secret) bool {
	return s.ID == o.ID && subtle.ConstantTimeCompare(s.Value, o.Value) == 1
}

// redacted replaces the value of a secret in output.
const redacted = "[redacted]"

// Format implements fmt.Formatter for every verb and redacts the value.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, strconv.Itoa(int(s.ID))+":"+redacted)
}

// MarshalText implements encoding.TextMarshaler, which JSON and log lines use, and
// redacts the value.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(fmt.Sprint(s)), nil
}

// ParseSecrets parses the content of a secrets file: one id:hex per line, the signing
// secret first. Blank lines and lines that begin with # are skipped. Its errors give
// line numbers and never contain the line.
//
// The last line must end with a line break. A file that is read while it is being
// written ends at an arbitrary position, and half of a secret is valid hexadecimal too.
func ParseSecrets(content string) ([]Secret, error) {
	if content != "" && !strings.HasSuffix(content, "\n") {
		return nil, errors.New("token: the last line has no line break: the file may be incomplete")
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

// checkSecrets returns an error if secrets are not valid for a Keyring.
func checkSecrets(secrets []Secret) error {
	if len(secrets) == 0 {
		return errors.New("token: no secrets")
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
