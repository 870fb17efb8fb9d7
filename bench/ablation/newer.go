package main

import (
	"io/fs"
	"os"
	"path/filepath"
)

// missingFS is a journal directory without the files that the current checkout's journal
// already contains.
type missingFS struct{ fs.FS }

// ReadDir implements fs.ReadDirFS. It returns all directories.
func (n missingFS) ReadDir(name string) ([]fs.DirEntry, error) {
	entries, err := fs.ReadDir(n.FS, name)
	var out []fs.DirEntry
	for _, e := range entries {
		_, missing := os.Stat(filepath.Join("journal", name, e.Name()))
		if e.IsDir() || missing != nil {
			out = append(out, e)
		}
	}
	return out, err
}
