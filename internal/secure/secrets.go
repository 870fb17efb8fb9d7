package secure

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// signDelay is how long a secret that has just arrived is only accepted before
// this process signs with it. Processes read their files at moments of their
// own; were the first to sign at once, the others would refuse its tokens as
// forged until they had looked.
const signDelay = time.Minute

// Secrets are the token secrets of a file, whose first line signs.
type Secrets struct {
	Keyring *token.Keyring
	watcher *FileWatcher
	now     func() time.Time

	inUse    []token.Secret // as given to Ring
	desired  []token.Secret // in the order of the file
	switchAt time.Time      // when wanted replaces inUse
}

// NewSecrets reads the file.
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

// Watcher returns the files to follow.
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

// retainedSigner returns the index of the secret that signs until now, when the
// one that is to sign has only just arrived; else -1. A signer that has been
// taken out is not kept: it may have leaked.
func (s *Secrets) retainedSigner(secrets []token.Secret) int {
	known := slices.ContainsFunc(s.inUse, secrets[0].Equal)
	if known {
		return -1
	}
	return slices.IndexFunc(secrets, s.inUse[0].Equal)
}

// promote begins to sign with a secret whose time has come. It runs at each look.
func (s *Secrets) promote() {
	if s.switchAt.IsZero() || s.now().Before(s.switchAt) {
		return
	}
	s.switchAt = time.Time{}
	s.inUse = s.desired
	_ = s.Keyring.Set(s.desired...) // checked when they were read
}
