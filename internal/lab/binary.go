package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// nodePackage is the edge node's command in this module.
const nodePackage = "./cmd/mulleinmux"

// FindNode returns the path of the edge node's binary: the one named, else one that is built
// into dir from the module that the working folder is in.
func FindNode(ctx context.Context, named, dir string) (string, error) {
	if named != "" {
		path, err := filepath.Abs(named)
		if err != nil {
			return "", fmt.Errorf("node binary: %w", err)
		}
		if st, err := os.Stat(path); err != nil || st.IsDir() || st.Mode()&0o111 == 0 {
			return "", fmt.Errorf("node binary: %s is no program that can be run", named)
		}
		return path, nil
	}
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(out)))
	if err != nil || root == "." {
		return "", errors.New("no edge node to run: name one with --node-binary, or call this inside the repository, where it is built")
	}
	if _, err := os.Stat(filepath.Join(root, nodePackage)); err != nil {
		return "", fmt.Errorf("no edge node to run: %s has no %s; name one with --node-binary", root, nodePackage)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("folder of the run: %w", err)
	}
	path, err := filepath.Abs(filepath.Join(dir, filepath.Base(nodePackage)))
	if err != nil {
		return "", fmt.Errorf("node binary: %w", err)
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", path, nodePackage)
	build.Dir = root
	var said bytes.Buffer
	build.Stderr = &said
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the edge node: %w\n%s", err, strings.TrimSpace(said.String()))
	}
	return path, nil
}
