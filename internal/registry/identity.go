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

// Files in a replica's data folder.
const (
	// identityFile contains the replica's ID. The ID is created together with the state: a replica that has
	// lost its state has also lost the record of its votes, and must not continue under the same ID.
	identityFile = "identity"

	logFile     = "raft.db"      // replicated log and the replica's votes
	restoreFile = "restore.json" // restored state, until the first leader has written it to the log
)

// Errors of a data folder that prevent a replica from starting.
var (
	errIdentityDamaged = errors.New("is damaged: empty the folder and start the replica again with --join")
	errAddressChanged  = errors.New("start it at its own address, or dismiss it and start a new replica with --join")
	errLogMissing      = errors.New("its log is missing: empty the folder and start the replica again with --join")
)

// loadIdentity reads the replica's ID, "NAME@HTTP-ADDRESS", from its data folder. It creates an ID for a new
// folder.
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

// validateIdentity returns an error if a replica cannot continue under its ID.
func validateIdentity(dir, addr, id string) error {
	name, ownAddr, _ := strings.Cut(id, "@")
	if name == "" || ownAddr == "" {
		return fmt.Errorf("%s: %w", filepath.Join(dir, identityFile), errIdentityDamaged)
	}
	if ownAddr != addr { // the other replicas reach it at the address in its ID
		return fmt.Errorf("replica %s belongs to %s, not to %s: %w", name, ownAddr, addr, errAddressChanged)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s belongs to replica %s, but %w", dir, id, errLogMissing)
	}
	return nil
}

// newIdentity creates an ID with a random name and writes it to the data folder.
func newIdentity(dir, addr string) (id string, err error) {
	var name [6]byte
	_, _ = rand.Read(name[:]) // never fails
	id = "r" + hex.EncodeToString(name[:]) + "@" + addr
	if err := os.WriteFile(filepath.Join(dir, identityFile), []byte(id+"\n"), 0o600); err != nil {
		return "", fmt.Errorf("identity: %w", err)
	}
	return id, nil
}

// damagedError wraps an error of the replica's files and says how to repair them.
func damagedError(path string, err error) error {
	return fmt.Errorf("%s: %w: if the file is damaged, empty the folder and start the replica again with --join, or with `opalhook registry restore` if no other replica is left", path, err)
}
