package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockFile is a file in the data folder. The process that uses the folder holds a lock on
// this file, which the operating system releases when the process ends.
const lockFile = "lock"

var errFolderInUse = errors.New("the data folder is used by another process; stop it or name another folder in control.data_folder")

// lockFolder locks the data folder for this process and creates it if necessary. Two
// processes in the same folder would overwrite each other's log.
func lockFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("control.data_folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("control.data_folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("control.data_folder %s: %w", folder, errFolderInUse), f.Close())
	}
	return f, nil
}
