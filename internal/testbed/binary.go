package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

// nodePackage is the path of the edge node's main package, relative to the module root.
const nodePackage = "./cmd/edge-node"

// FindNode returns the absolute path of the edge node's binary. If named is not empty, it is the path
// of an existing binary. Otherwise FindNode builds the binary into dir, from the module that contains
// the working directory.
func FindNode(ctx context.Context, named, dir string) (string, error) {
	if named != "" {
		path, err := filepath.Abs(named)
		if err != nil {
			return "", fmt.Errorf("node binary: %w", err)
		}
		if st, err := os.Stat(path); err != nil || st.IsDir() || st.Mode()&0o111 == 0 {
			return "", fmt.Errorf("node binary: %s is not an executable file", named)
		}
		return path, nil
	}
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("directory of the run: %w", err)
	}
	path, err := filepath.Abs(filepath.Join(dir, filepath.Base(nodePackage)))
	if err != nil {
		return "", fmt.Errorf("node binary: %w", err)
	}
	return buildNode(ctx, root, path)
}
