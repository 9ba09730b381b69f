package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	lockName        = "lock"
	identityName    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
)

func logName(number uint64) string {
	return fmt.Sprintf("%s%016d", logPrefix, number)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, index)
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.config.Directory, name)
}

func lockDirectory(directory string) (*os.File, error) {
	const op = "lock journal"
	file, err := os.OpenFile(filepath.Join(directory, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fault.Wrap(err, op, Disk, directory)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fault.Wrap(err, op, InUse, "another process uses "+directory)
	}
	return file, nil
}

func (j *Journal) write(file *os.File, data []byte) error {
	n, err := j.config.Write(file, data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	return err
}

// replace writes data to a temporary file, syncs it, renames it to name and syncs the directory.
func (j *Journal) replace(name string, data []byte) error {
	const op = "replace file"
	path := j.path(name)
	file, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Wrap(err, op, Disk, name)
	}
	err = j.write(file, data)
	if err == nil {
		err = j.config.Sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.Wrap(err, op, Disk, name)
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return fault.Wrap(err, op, Disk, name)
	}
	return syncDirectory(j.config.Directory, j.config.Sync)
}

// syncDirectory makes the names of new files durable.
func syncDirectory(path string, sync func(*os.File) error) error {
	const op = "sync directory"
	directory, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, op, Disk, path)
	}
	defer directory.Close()
	return fault.Wrap(sync(directory), op, Disk, path)
}

// listNumbered returns the highest number among the files whose names start with prefix, and all their numbers.
func (j *Journal) listNumbered(prefix string) (uint64, []uint64, error) {
	const op = "list directory"
	files, err := os.ReadDir(j.config.Directory)
	if err != nil {
		return 0, nil, fault.Wrap(err, op, Disk, j.config.Directory)
	}
	var highest uint64
	var all []uint64
	for _, file := range files {
		digits, ok := strings.CutPrefix(file.Name(), prefix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			continue
		}
		all = append(all, number)
		highest = max(highest, number)
	}
	return highest, all, nil
}

// removeOld removes the files that newer ones replaced, except keepSnapshots. A removed file that
// reappears after a crash is ignored by recover, so the directory needs no sync here.
func (j *Journal) removeOld(keepSnapshots []uint64) error {
	err := j.removeBelow(logPrefix, []uint64{j.logNumber})
	if err == nil {
		err = j.removeBelow(snapshotPrefix, keepSnapshots)
	}
	if err != nil {
		return j.fail(err)
	}
	return nil
}

// removeBelow removes the files whose names start with prefix and whose number is below the highest of keep,
// except those in keep.
func (j *Journal) removeBelow(prefix string, keep []uint64) error {
	if len(keep) == 0 {
		return nil
	}
	_, all, err := j.listNumbered(prefix)
	if err != nil {
		return err
	}
	for _, number := range all {
		if number >= slices.Max(keep) || slices.Contains(keep, number) {
			continue
		}
		name := fmt.Sprintf("%s%016d", prefix, number)
		if err := os.Remove(j.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fault.Wrap(err, "remove old file", Disk, name)
		}
	}
	return nil
}
