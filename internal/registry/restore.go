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

// epochLength is the time after which a list that is restored again gets another epoch by itself.
const epochLength = 450 * time.Second

// epochOrigin is when epoch 0 began.
var epochOrigin = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// EpochAt returns the epoch of a list that is restored at a time: larger than that of any restored before it. Restores
// of one backup less than 450 s apart need epochs chosen by hand.
func EpochAt(now time.Time) uint64 { return uint64(now.Sub(epochOrigin) / epochLength) }

// Restore prepares a new or empty folder for the first replica of a new service that begins with a backup, in an epoch
// that is at least the given one. It returns the state of the restored list.
func Restore(dir string, backup io.Reader, epoch uint64) (*State, error) {
	if files, err := os.ReadDir(dir); err == nil && len(files) > 0 {
		return nil, fmt.Errorf("%s: is not empty: a backup is restored into a new folder", dir)
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

// writeNewFile makes a file and syncs it to disk.
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

// loadRestored puts a restored state into the log, once.
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
