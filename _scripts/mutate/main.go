// Command mutate breaks one mechanism at a time in a copy of the source tree and checks
// that the test of that mechanism then fails. The working tree is not changed.
//
//	go run ./_scripts/mutate
package main

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// mutation breaks a mechanism by replacing old, which must be in the file exactly once, by
// new; the test must then fail.
type mutation struct {
	name string
	file string
	old  string
	new  string
	pkg  string
	test string
}

func main() {
	dir, err := os.MkdirTemp("", "mutate")
	exitOnError(err)
	defer func() { _ = os.RemoveAll(dir) }()
	exitOnError(copyTree(".", dir))
	survived := 0
	fmt.Println("| mechanism | broken by | test | verdict |")
	fmt.Println("|---|---|---|---|")
	for _, m := range mutations {
		if len(os.Args) > 1 && !strings.Contains(m.name, os.Args[1]) {
			continue
		}
		failed := detected(dir, m)
		verdict := "red"
		if !failed {
			verdict = "STILL GREEN"
			survived++
		}
		fmt.Printf("| %s | `%s` | `%s` | %s |\n", m.name, m.file, m.test, verdict)
	}
	if survived > 0 {
		_ = os.RemoveAll(dir)
		os.Exit(1)
	}
}

// detected applies a mutation in dir, runs its test, reverts the mutation and reports
// whether the test failed. A mutation that does not compile ends the program, since its
// test would fail for another reason.
func detected(dir string, m mutation) bool {
	path := filepath.Join(dir, m.file)
	text, err := os.ReadFile(path)
	exitOnError(err)
	if strings.Count(string(text), m.old) != 1 {
		exitOnError(fmt.Errorf("%s: %q does not occur exactly once", m.file, m.old))
	}
	exitOnError(os.WriteFile(path, []byte(strings.Replace(string(text), m.old, m.new, 1)), 0o600))
	defer func() { exitOnError(os.WriteFile(path, text, 0o600)) }()
	vet := exec.Command("go", "vet", "./"+filepath.Dir(m.file))
	vet.Dir = dir
	if out, err := vet.CombinedOutput(); err != nil {
		exitOnError(fmt.Errorf("%s does not compile: %s", m.name, out))
	}
	const timeout = 5 * time.Minute
	cmd := exec.Command("go", "test", "-count=1", "-timeout", timeout.String(), "-run", m.test, m.pkg)
	cmd.Dir = dir
	return cmd.Run() != nil
}

func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == ".git" {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o700)
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), body, 0o600)
	})
}

// exitOnError prints an error, if there is one, and exits with status 2.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
