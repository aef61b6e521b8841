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

// A service that begins with a backup, in an epoch of its own.

// epochLength is the time after which a list restored once more gets another epoch by itself.
const epochLength = 450 * time.Second

// epochOrigin is from when epochs are counted.
var epochOrigin = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// EpochAt is the epoch of a list that is restored at a time: larger than that of any restored
// before it. Restores of one backup less than epochLength apart need epochs of their own.
func EpochAt(now time.Time) uint64 { return uint64(now.Sub(epochOrigin) / epochLength) }

// Restore prepares a folder for the first replica of a new service that begins with a backup,
// in a new epoch. It returns what the list then holds.
func Restore(dir string, backup io.Reader, epoch uint64) (*State, error) {
	if files, err := os.ReadDir(dir); err == nil && len(files) > 0 {
		return nil, fmt.Errorf("%s: is not empty: a backup is restored into a new folder", dir)
	}
	var st State
	if err := json.NewDecoder(backup).Decode(&st); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	n, err := st.RestoredInEpoch(max(epoch, st.Epoch()+1))
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(n)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, restoreFile), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("restored state: %w", err)
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return nil, fmt.Errorf("restored state: %w", err)
	}
	if err := f.Sync(); err != nil {
		return nil, fmt.Errorf("restored state: %w", err)
	}
	return n, f.Close()
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
	var st State
	if err := json.Unmarshal(text, &st); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	o, err := s.commit(Command{Kind: Load, Snapshot: &st})
	if err != nil {
		return fmt.Errorf("restored state: %w", err)
	}
	if o.Code != Done && o.Code != Unchanged {
		return fmt.Errorf("restored state: %s", o.Message)
	}
	return os.Remove(path)
}
