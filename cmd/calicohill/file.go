package main

import "os"

// publicFileMode is the mode of files without secrets. Other users may read them.
const publicFileMode = 0o644

// replaceFile replaces the content of a file atomically: a concurrent reader gets either the complete old content or
// the complete new content.
func replaceFile(path string, content []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, publicFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
