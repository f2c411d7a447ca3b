package main

import "os"

// publicFileMode is the mode of files that hold no secret, and that other users may read.
const publicFileMode = 0o644

// replaceFile replaces the content of a file. A process that reads it meanwhile gets either the old or the new content,
// complete.
func replaceFile(path string, content []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, publicFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
