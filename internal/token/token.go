// Package token creates and verifies the signed tokens that the fleet gives to callers:
// request keys, which name the one sidecar incarnation that may run a request, and
// placement tickets, which record where the prompt prefix of a session was last cached.
//
// Tokens are opaque to callers. Only routers create and verify tokens; sidecars trust
// what an authenticated router sends them.
package token

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Purpose distinguishes the kinds of token, so that one cannot be used as another.
type Purpose byte

const (
	// PurposeKey marks a request key.
	PurposeKey Purpose = 'k'
	// PurposeTicket marks a placement ticket.
	PurposeTicket Purpose = 't'
)

// MaxVMLen is the longest VM ID that a token can carry, in bytes.
const MaxVMLen = 64

const (
	formatVersion = 1
	macSize       = 16
	nonceSize     = 8
	// fixedSize is the length of an encoded token without its VM and MAC. The fields
	// are, in this order, the format version, the ID of the secret and the purpose (1
	// byte each), Org, Session and Incarnation (8 bytes each), the nonce, Expires in
	// Unix seconds (4 bytes), and the length of VM (1 byte). VM and the MAC follow.
	// Integers are big-endian.
	fixedSize     = 1 + 1 + 1 + 8 + 8 + 8 + nonceSize + 4 + 1
	maxEncodedLen = 256
)

// encoding is strict: it rejects non-zero trailing padding bits.
var encoding = base64.RawURLEncoding.Strict()

// Errors that Open returns.
var (
	ErrForged  = errors.New("token: not signed by this fleet") // malformed or signed with no known secret
	ErrPurpose = errors.New("token: of another kind")          // valid, but with another Purpose
)

// Nonce distinguishes the tokens of one incarnation.
type Nonce [nonceSize]byte

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	var n Nonce
	rand.Read(n[:]) // never fails, as crypto/rand documents
	return n
}

// String returns the nonce in hexadecimal.
func (n Nonce) String() string {
	return hex.EncodeToString(n[:])
}

// MarshalText implements encoding.TextMarshaler.
func (n Nonce) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, n[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *Nonce) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != nonceSize {
		return errors.Errorf("token: nonce of %d characters", len(text))
	}
	_, err := hex.Decode(n[:], text)
	return err
}

// Token is the content of a request key or of a placement ticket.
type Token struct {
	Purpose     Purpose
	Org         uint64 // hash of the organisation's name
	Session     uint64 // hash of the session's name within the organisation; zero: no session
	Incarnation uint64 // of the sidecar on VM
	Nonce       Nonce
	Expires     time.Time // whole seconds
	VM          string    // at most MaxVMLen bytes
}

// Expired reports whether the token has expired at now.
func (t Token) Expired(now time.Time) bool {
	return now.After(t.Expires)
}

// Keyring signs with its first secret and accepts signatures by all of them, so that a
// secret can be rotated while tokens signed with the previous one are in use. It is
// safe for concurrent use.
type Keyring struct {
	secrets atomic.Pointer[[]Secret]
}

// NewKeyring returns a Keyring of secrets, the signing secret first.
func NewKeyring(secrets ...Secret) (*Keyring, error) {
	r := &Keyring{}
	if err := r.Set(secrets...); err != nil {
		return nil, err
	}
	return r, nil
}

// Set replaces the secrets, the signing secret first. After an error the previous
// secrets stay in use.
func (r *Keyring) Set(secrets ...Secret) error {
	if err := checkSecrets(secrets); err != nil {
		return err
	}
	r.secrets.Store(&secrets)
	return nil
}

// Seal encodes t and signs it with the first secret. It does not check that t.VM is no
// longer than MaxVMLen, nor that t.Expires fits into 32 bits as Unix seconds.
func (r *Keyring) Seal(t Token) string {
	s := (*r.secrets.Load())[0]
	b := make([]byte, 0, fixedSize+len(t.VM)+macSize)
	b = append(b, formatVersion, s.ID, byte(t.Purpose))
	b = binary.BigEndian.AppendUint64(b, t.Org)
	b = binary.BigEndian.AppendUint64(b, t.Session)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = append(b, t.Nonce[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(t.Expires.Unix()))
	b = append(b, byte(len(t.VM)))
	b = append(b, t.VM...)
	b = append(b, mac(s.Value, b)...)
	return encoding.EncodeToString(b)
}

// Open verifies and decodes s. It returns ErrForged if no known secret has signed s, and
// ErrPurpose if s does not have purpose p. It does not check the expiry, because an
// expired key still names the sidecar that has the outcome of its request.
func (r *Keyring) Open(s string, p Purpose) (Token, error) {
	if len(s) > maxEncodedLen {
		return Token{}, ErrForged
	}
	b, err := encoding.DecodeString(s)
	if err != nil || len(b) < fixedSize+macSize || b[0] != formatVersion {
		return Token{}, ErrForged
	}
	// The decoder skips line breaks. Each token must have a single encoding, so that
	// two requests with the same key also carry the same text.
	if len(s) != encoding.EncodedLen(len(b)) {
		return Token{}, ErrForged
	}
	signed, receivedMAC := b[:len(b)-macSize], b[len(b)-macSize:]
	if !r.hasValidMAC(signed, receivedMAC) {
		return Token{}, ErrForged
	}
	t, err := decode(signed)
	if err != nil {
		return Token{}, err
	}
	if t.Purpose != p {
		return Token{}, ErrPurpose
	}
	return t, nil
}

// hasValidMAC reports whether receivedMAC is the MAC of signed under the secret that
// signed names by its ID. It returns false for an unknown ID.
func (r *Keyring) hasValidMAC(signed, receivedMAC []byte) bool {
	id := signed[1]
	for _, s := range *r.secrets.Load() {
		if s.ID == id {
			return hmac.Equal(mac(s.Value, signed), receivedMAC)
		}
	}
	return false
}

func decode(b []byte) (Token, error) {
	t := Token{Purpose: Purpose(b[2])}
	t.Org = binary.BigEndian.Uint64(b[3:])
	t.Session = binary.BigEndian.Uint64(b[11:])
	t.Incarnation = binary.BigEndian.Uint64(b[19:])
	copy(t.Nonce[:], b[27:27+nonceSize])
	t.Expires = time.Unix(int64(binary.BigEndian.Uint32(b[35:])), 0)
	n := int(b[39])
	if n > MaxVMLen || len(b) != fixedSize+n {
		return Token{}, ErrForged
	}
	t.VM = string(b[fixedSize:])
	return t, nil
}

func mac(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	return h.Sum(nil)[:macSize]
}
