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
	identityFile = "identity"     // the replica's ID; it is made with the state: a replica that lost its state is another one, since it has forgotten its votes
	logFile      = "raft.db"      // the replicated log and the replica's votes
	restoreFile  = "restore.json" // a restored state, until the first leader has put it into the log
)

// Errors of a data folder that its replica can't start with.
var (
	errIdentityDamaged = errors.New("is damaged: empty the folder and start the replica anew with --join")
	errAddressChanged  = errors.New("start it there, or dismiss it and start a new one with --join")
	errLogMissing      = errors.New("its log is gone: empty the folder and start it anew with --join")
)

// loadIdentity reads the replica's ID, "NAME@HTTP-ADDRESS", from its folder, or makes one for a new folder.
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

// validateIdentity returns an error that says why a replica can't continue under its ID.
func validateIdentity(dir, addr, id string) error {
	name, ownAddr, _ := strings.Cut(id, "@")
	if name == "" || ownAddr == "" {
		return fmt.Errorf("%s: %w", filepath.Join(dir, identityFile), errIdentityDamaged)
	}
	if ownAddr != addr { // the other replicas know it by that address
		return fmt.Errorf("replica %s belongs to %s, not to %s: %w", name, ownAddr, addr, errAddressChanged)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s names replica %s and %w", dir, id, errLogMissing)
	}
	return nil
}

// newIdentity makes an ID with a random name and writes it to the folder.
func newIdentity(dir, addr string) (id string, err error) {
	var name [6]byte
	_, _ = rand.Read(name[:]) // it never fails
	id = "r" + hex.EncodeToString(name[:]) + "@" + addr
	if err := os.WriteFile(filepath.Join(dir, identityFile), []byte(id+"\n"), 0o600); err != nil {
		return "", fmt.Errorf("identity: %w", err)
	}
	return id, nil
}

// damagedError reports an error of the replica's files with what repairs it.
func damagedError(path string, err error) error {
	return fmt.Errorf("%s: %w: if the file is damaged, empty the folder and start the replica anew with --join, or with `opalhook registry restore` where no other replica is left", path, err)
}
