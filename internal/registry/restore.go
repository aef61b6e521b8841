package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// epochLength is the period during which [EpochAt] returns the same epoch.
const epochLength = 450 * time.Second

// epochOrigin is the beginning of epoch 0.
var epochOrigin = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// EpochAt returns the epoch of a list that is restored at the given time. The epoch grows every 450 s, so
// that it exceeds that of every earlier restore. Two restores of one backup less than 450 s apart may get the
// same epoch. In this case the caller must choose different epochs.
func EpochAt(now time.Time) uint64 { return uint64(now.Sub(epochOrigin) / epochLength) }

// Restore prepares a new or empty folder as the data folder of the first replica of a new service, whose list
// begins with a backup. The new epoch is the given one, or the one after the backup's epoch if that is
// larger. Restore returns the state of the restored list.
func Restore(dir string, backup io.Reader, epoch uint64) (*State, error) {
	if files, err := os.ReadDir(dir); err == nil && len(files) > 0 {
		return nil, fmt.Errorf("%s: must be a new or empty folder, found %d files", dir, len(files))
	}
	var saved State
	if err := json.NewDecoder(backup).Decode(&saved); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	restored, err := saved.RestoredInEpoch(max(epoch, saved.Epoch()+1))
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(restored)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	if err := writeNewFile(filepath.Join(dir, restoreFile), text); err != nil {
		return nil, fmt.Errorf("restored state: %w", err)
	}
	return restored, nil
}

// writeNewFile creates a file and syncs it to disk. The file must not exist.
func writeNewFile(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// loadRestored commits the restored state, if the data folder contains one, and then deletes its file.
func (s *Server) loadRestored() error {
	path := filepath.Join(s.cfg.Dir, restoreFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("restored state: %w", err)
	}
	var restored State
	if err := json.Unmarshal(text, &restored); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	o, err := s.commit(Command{Kind: Load, Snapshot: &restored})
	if err != nil {
		return fmt.Errorf("restored state: %w", err)
	}
	if o.Code != Done && o.Code != Unchanged {
		return fmt.Errorf("restored state: %s", o.Message)
	}
	return os.Remove(path)
}
