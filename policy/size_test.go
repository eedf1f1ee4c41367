package policy

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	maxFileLines = 500
	maxLineWidth = 110 // characters, with a tab as four
)

// TestDeployFileNamesAllFiles checks that the deploy file lists exactly the source files of this package
// under the key policy.
func TestDeployFileNamesAllFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line policy = [...], want one that lists the files")
	}
	var named []string
	for _, path := range regexp.MustCompile(`"policy/([^"]+)"`).FindAllSubmatch(line[1], -1) {
		named = append(named, string(path[1]))
	}
	if want := programFiles(t); !slices.Equal(named, want) {
		t.Errorf("the deploy file lists %v, want %v", named, want)
	}
}

// TestFilesStaySmall limits the length of each source file and the width of its lines.
func TestFilesStaySmall(t *testing.T) {
	for _, name := range programFiles(t) {
		if lines := countLines(t, name); lines > maxFileLines {
			t.Errorf("%s has %d lines, want at most %d", name, lines, maxFileLines)
		}
	}
}

// programFiles returns the names of the package's source files in order, without the tests.
func programFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// countLines returns the number of lines of a file, and fails the test for each line that is too wide.
func countLines(t *testing.T, name string) (count int) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		count++
		text := lines.Text()
		if width := len(strings.ReplaceAll(text, "\t", "    ")); width > maxLineWidth {
			t.Errorf("%s: a line of %d characters, want at most %d: %s", name, width, maxLineWidth, text)
		}
	}
	return count
}
