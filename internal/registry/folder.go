package registry

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The folder of a replica: its name, its log, and a state to begin with.

// identity is the file that names a replica. It is drawn with its state: one whose state was
// lost is another replica, since it has forgotten what it voted.
const identityFile = "identity"

// logFile holds the replicated log and what the replica voted.
const logFile = "raft.db"

// restoreFile holds a restored state until the first leader has put it into the log.
const restoreFile = "restore.json"

// identity reads the replica's name from its folder, or draws one for a new folder.
func loadIdentity(dir, addr string) (id string, err error) {
	text, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return newIdentity(dir, addr)
	}
	if err != nil {
		return "", fmt.Errorf("identity: %w", err)
	}
	id = strings.TrimSpace(string(text))
	return id, validateIdentity(dir, addr, id)
}

// checkIdentity tells why a replica can't go on under its name.
func validateIdentity(dir, addr, id string) error {
	name, at, _ := strings.Cut(id, "@")
	if name == "" || at == "" {
		return fmt.Errorf("%s: is damaged: empty the folder and start the replica anew with --join", filepath.Join(dir, identityFile))
	}
	if at != addr { // the others know it by that address
		return fmt.Errorf("replica %s belongs to %s, not to %s: start it there, or dismiss it and start a new one with --join", name, at, addr)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s names replica %s and its log is gone: empty the folder and start it anew with --join", dir, id)
	}
	return nil
}

// newIdentity draws a name and writes it down.
func newIdentity(dir, addr string) (id string, err error) {
	var drawn [6]byte
	rand.Read(drawn[:])
	id = "r" + hex.EncodeToString(drawn[:]) + "@" + addr
	if err := os.WriteFile(filepath.Join(dir, identityFile), []byte(id+"\n"), 0o600); err != nil {
		return "", fmt.Errorf("identity: %w", err)
	}
	return id, nil
}

// damaged words an error of the replica's files with what mends it.
func damagedError(path string, err error) error {
	return fmt.Errorf("%s: %w: if the file is damaged, empty the folder and start the replica anew with --join, or with `opalhook registry restore` where no other replica is left", path, err)
}
