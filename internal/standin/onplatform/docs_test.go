package onplatform_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)`)

var testName = regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`)

// Pages cite tests as evidence, so each test that they name must exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	root := "../../.."
	exists := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
			exists[m[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	for _, page := range []string{"PLATFORM.md", "FINDINGS.md", "OPERATIONS.md"} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		assert.NilError(t, err)
		for _, name := range testName.FindAllString(string(text), -1) {
			assert.Assert(t, exists[name], "%s names %s", page, name)
		}
	}
}
