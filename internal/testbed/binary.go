package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

// nodePackage is the edge node's command in this module.
const nodePackage = "./cmd/edge-node"

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
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("folder of the run: %w", err)
	}
	path, err := filepath.Abs(filepath.Join(dir, filepath.Base(nodePackage)))
	if err != nil {
		return "", fmt.Errorf("node binary: %w", err)
	}
	return buildNode(ctx, root, path)
}
