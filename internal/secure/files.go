// Package secure holds what processes trust each other by: mutual TLS between
// routers and sidecars, TLS towards callers and the platform, and the secrets
// that sign tokens. All of it comes from files that are read again when they
// change, so that a rotation needs no restart.
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

// maxFileSize is the largest file that is read, in bytes.
const maxFileSize = 1 << 20

var (
	reloads = telemetry.NewCounter("secure_reloads_total",
		"Changed files of certificates, keys or secrets that were taken into use.")
	reloadFailures = telemetry.NewCounter("secure_reload_failures_total",
		"Changed files of certificates, keys or secrets that were broken; the former ones stay in use.", telemetry.Alert)
)

// FileWatcher follows a set of files that belong together, such as a certificate and
// its key.
type FileWatcher struct {
	paths     []string
	load      func(contents [][]byte) error
	afterPoll func()      // runs after each look; may be nil
	current   fingerprint // in use
	pending   fingerprint // seen once
	rejected  fingerprint // seen, and found broken
}

// fingerprint identifies the contents of a set of files.
type fingerprint [sha256.Size]byte

// WatchFiles reads the files and hands their contents to take, now and on each
// change. It fails when the first contents can't be used.
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

// Run looks for changes until ctx ends.
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

// poll takes changed contents into use once it has seen the same ones twice.
//
// A file that is being written, or a certificate that has arrived before its
// key, may read as something whole but wrong: a bundle cut between two
// certificates parses, and would shut out half of the fleet. Such a state does
// not last from one look to the next; where it does, it is checked as any
// other, and while the check fails the former contents stay in use.
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
		slog.Error("changed files are broken, the former ones stay in use", "files", f.paths, "error", err)
		return
	}
	f.current, f.rejected = seen, fingerprint{}
	reloads.Inc()
	slog.Info("changed files taken into use", "files", f.paths)
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
		return nil, errors.Errorf("%s is over %d bytes", path, maxFileSize)
	}
	return b, nil
}

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
