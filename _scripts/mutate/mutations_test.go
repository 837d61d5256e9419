package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Mutations whose text had changed in the source were found only by running all of them by hand.
func TestEachMutationMatchesItsSourceOnce(t *testing.T) {
	for _, m := range mutations {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		assert.NilError(t, err)
		assert.Check(t, strings.Count(string(text), m.old) == 1, "%s: %q in %s", m.name, m.old, m.file)
	}
}
