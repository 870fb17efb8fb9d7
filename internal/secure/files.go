// Package secure provides mutual TLS between routers and sidecars, TLS for callers
// and for the platform, and the secrets that sign tokens. Certificates, keys and
// secrets come from files that are reloaded when they change, so that a rotation
// needs no restart.
package secure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// maxFileSize is the size limit of a file, in bytes.
const maxFileSize = 1 << 20

var (
	reloads = telemetry.NewCounter("secure_reloads_total",
		"Changed files of certificates, keys or secrets that were taken into use.")
	reloadFailures = telemetry.NewCounter("secure_reload_failures_total",
		"Changed files of certificates, keys or secrets that were broken; the former ones stay in use.", telemetry.Alert)
)

// FileWatcher reloads a set of files that belong together, such as a certificate and
// its key, when they change.
type FileWatcher struct {
	paths     []string
	load      func(contents [][]byte) error
	afterPoll func()      // runs after each poll; may be nil
	current   fingerprint // of the contents in use
	pending   fingerprint // of the contents seen at the last poll
	rejected  fingerprint // of the last contents that failed to load
}

// fingerprint identifies the contents of a set of files.
type fingerprint [sha256.Size]byte

// WatchFiles reads the files and passes their contents to load, now and on each
// change. It returns an error if the initial contents can't be read or loaded.
func WatchFiles(paths []string, load func(contents [][]byte) error) (*FileWatcher, error) {
	f := &FileWatcher{paths: paths, load: load}
	contents, err := f.read()
	if err != nil {
		return nil, err
	}
	if err := load(contents); err != nil {
		return nil, err
	}
	f.current = fingerprintOf(contents, nil)
	return f, nil
}

// Run checks the files for changes once per interval until ctx ends.
func (f *FileWatcher) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.poll()
			if f.afterPoll != nil {
				f.afterPoll()
			}
		case <-ctx.Done():
			return
		}
	}
}

// poll loads changed contents once two polls in a row have read the same.
//
// A file that is being written, or a certificate that arrives before its key, may
// parse although it is incomplete: a bundle that is cut between two certificates
// parses, and would lock out half of the fleet. Such a state normally does not last
// from one poll to the next. If it does, it is validated like any other, and the
// previous contents stay in use while validation fails.
func (f *FileWatcher) poll() {
	contents, err := f.read()
	seen := fingerprintOf(contents, err)
	stable := seen == f.pending
	f.pending = seen
	if !stable || seen == f.current || seen == f.rejected {
		return
	}
	if err == nil {
		err = f.load(contents)
	}
	if err != nil {
		f.rejected = seen
		reloadFailures.Inc()
		slog.Error("changed files are invalid, the previous contents stay in use", "files", f.paths, "error", err)
		return
	}
	f.current, f.rejected = seen, fingerprint{}
	reloads.Inc()
	slog.Info("changed files loaded", "files", f.paths)
}

func (f *FileWatcher) read() ([][]byte, error) {
	contents := make([][]byte, len(f.paths))
	for i, path := range f.paths {
		b, err := readFile(path)
		if err != nil {
			return nil, err
		}
		contents[i] = b
	}
	return contents, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(b) > maxFileSize {
		return nil, errors.Errorf("%s is larger than %d bytes", path, maxFileSize)
	}
	return b, nil
}

// fingerprintOf returns the fingerprint of contents or, if reading them failed with
// err, of the error's text. poll thus handles a failure to read like contents that
// fail to load: only a lasting one counts, and it is reported once.
func fingerprintOf(contents [][]byte, err error) fingerprint {
	if err != nil {
		return sha256.Sum256([]byte(err.Error()))
	}
	var b bytes.Buffer
	for _, c := range contents {
		sum := sha256.Sum256(c)
		b.Write(sum[:])
	}
	return sha256.Sum256(b.Bytes())
}
