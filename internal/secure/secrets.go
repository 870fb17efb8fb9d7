package secure

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// signAfter is how long a secret that has just arrived is only accepted before
// this process signs with it. Processes read their files at moments of their
// own; were the first to sign at once, the others would refuse its tokens as
// forged until they had looked.
const signAfter = time.Minute

// Secrets are the token secrets of a file, whose first line signs.
type Secrets struct {
	Keyring *token.Keyring
	files   *FileWatcher
	now     func() time.Time

	inUse  []token.Secret // as given to Ring
	wanted []token.Secret // in the order of the file
	due    time.Time      // when wanted replaces inUse
}

// NewSecrets reads the file.
func NewSecrets(path string) (*Secrets, error) {
	return newSecrets(path, time.Now)
}

func newSecrets(path string, now func() time.Time) (*Secrets, error) {
	s := &Secrets{now: now}
	var err error
	s.files, err = WatchFiles([]string{path}, s.take)
	if err != nil {
		return nil, errors.Wrap(err, "secure: token secrets")
	}
	s.files.after = s.promote
	return s, nil
}

// Watcher returns the files to follow.
func (s *Secrets) Watcher() *FileWatcher {
	return s.files
}

func (s *Secrets) take(contents [][]byte) error {
	secrets, err := token.ParseSecrets(string(contents[0]))
	if err != nil {
		return err
	}
	if s.Keyring == nil {
		s.inUse, s.wanted = secrets, secrets
		s.Keyring, err = token.NewKeyring(secrets...)
		return err
	}
	signer := s.signerKept(secrets)
	s.wanted, s.inUse, s.due = secrets, secrets, time.Time{}
	if signer > 0 {
		s.inUse = slices.Concat(secrets[signer:signer+1], secrets[:signer], secrets[signer+1:])
		s.due = s.now().Add(signAfter)
	}
	return s.Keyring.Set(s.inUse...)
}

// signerKept returns the index of the secret that signs until now, when the
// one that is to sign has only just arrived; else -1. A signer that has been
// taken out is not kept: it may have leaked.
func (s *Secrets) signerKept(secrets []token.Secret) int {
	known := slices.ContainsFunc(s.inUse, secrets[0].Equal)
	if known {
		return -1
	}
	return slices.IndexFunc(secrets, s.inUse[0].Equal)
}

// promote begins to sign with a secret whose time has come. It runs at each look.
func (s *Secrets) promote() {
	if s.due.IsZero() || s.now().Before(s.due) {
		return
	}
	s.due = time.Time{}
	s.inUse = s.wanted
	_ = s.Keyring.Set(s.wanted...) // checked when they were read
}
