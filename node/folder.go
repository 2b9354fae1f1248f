package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockFile is the file in the data folder whose lock belongs to the process that
// uses the folder. The lock ends with the process.
const lockFile = "lock"

var errFolderInUse = errors.New("the data folder is used by another process; stop it or name another folder in control.data_folder")

// lockFolder takes the data folder for this process. Two processes on one folder
// would write over each other's log.
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
