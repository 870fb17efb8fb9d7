package secure

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// signDelay is how long this process accepts tokens signed with a new secret before
// it signs with that secret itself. Processes reload their files at different times;
// if the first one signed at once, the others would reject its tokens as forged until
// they had reloaded.
const signDelay = time.Minute

// Secrets holds the token secrets of a file. All are accepted; the one in the file's
// first line signs. If a reload brings a new first secret, it signs only after
// signDelay, unless the secret that signed until then was removed from the file.
type Secrets struct {
	Keyring *token.Keyring
	watcher *FileWatcher
	now     func() time.Time

	inUse    []token.Secret // as passed to Keyring; the first one signs
	desired  []token.Secret // all secrets of the file, in its order
	switchAt time.Time      // when desired replaces inUse; zero: no replacement is pending
}

// NewSecrets loads the secrets from a file.
func NewSecrets(path string) (*Secrets, error) {
	return newSecrets(path, time.Now)
}

func newSecrets(path string, now func() time.Time) (*Secrets, error) {
	s := &Secrets{now: now}
	var err error
	s.watcher, err = WatchFiles([]string{path}, s.load)
	if err != nil {
		return nil, errors.Wrap(err, "secure: token secrets")
	}
	s.watcher.afterPoll = s.promote
	return s, nil
}

// Watcher returns the watcher of the file. The caller must run it, otherwise changes
// are not loaded.
func (s *Secrets) Watcher() *FileWatcher {
	return s.watcher
}

func (s *Secrets) load(contents [][]byte) error {
	secrets, err := token.ParseSecrets(string(contents[0]))
	if err != nil {
		return err
	}
	if s.Keyring == nil {
		s.inUse, s.desired = secrets, secrets
		s.Keyring, err = token.NewKeyring(secrets...)
		return err
	}
	signer := s.retainedSigner(secrets)
	s.desired, s.inUse, s.switchAt = secrets, secrets, time.Time{}
	if signer > 0 {
		s.inUse = slices.Concat(secrets[signer:signer+1], secrets[:signer], secrets[signer+1:])
		s.switchAt = s.now().Add(signDelay)
	}
	return s.Keyring.Set(s.inUse...)
}

// retainedSigner returns the index in secrets of the secret that signs now, if it must
// keep signing for signDelay because the first of secrets is new. It returns -1 if the
// first one can sign at once: it is already known, or the secret that signs now was
// removed from the file, so it may have leaked.
func (s *Secrets) retainedSigner(secrets []token.Secret) int {
	known := slices.ContainsFunc(s.inUse, secrets[0].Equal)
	if known {
		return -1
	}
	return slices.IndexFunc(secrets, s.inUse[0].Equal)
}

// promote starts to sign with the new secret once switchAt is reached. It runs after
// each poll.
func (s *Secrets) promote() {
	if s.switchAt.IsZero() || s.now().Before(s.switchAt) {
		return
	}
	s.switchAt = time.Time{}
	s.inUse = s.desired
	_ = s.Keyring.Set(s.desired...) // the secrets were validated when they were loaded
}
