package archtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRedLines guards against a listed test that is skipped on machines where it has to pass, and against a
// malformed line that is passed over.
func TestKnownRedLines(t *testing.T) {
	const everywhere, armOnly, intelOnly = "TestA ./a | a cause | 1\n", "TestB ./b | arm64 | a cause | 2\n", "TestC ./c | amd64 | a cause | 3\n"
	for name, test := range map[string]struct {
		list, architecture, want string
		refused                  bool
	}{
		"empty":                  {architecture: "amd64"},
		"all machines":           {list: everywhere, architecture: "amd64", want: everywhere},
		"its machine":            {list: armOnly, architecture: "arm64", want: "TestB ./b | a cause | 2\n"},
		"another machine":        {list: armOnly, architecture: "amd64"},
		"mixed, amd64":           {list: everywhere + armOnly + intelOnly, architecture: "amd64", want: everywhere + "TestC ./c | a cause | 3\n"},
		"mixed, arm64":           {list: everywhere + armOnly + intelOnly, architecture: "arm64", want: everywhere + "TestB ./b | a cause | 2\n"},
		"unknown machine":        {list: "TestA ./a | arm46 | a cause | 1\n", architecture: "amd64", refused: true},
		"no issue":               {list: "TestA ./a | a cause\n", architecture: "amd64", refused: true},
		"empty issue":            {list: "TestA ./a | a cause | \n", architecture: "amd64", refused: true},
		"no package":             {list: "TestA | a cause | 1\n", architecture: "amd64", refused: true},
		"not a test":             {list: "BenchmarkA ./a | a cause | 1\n", architecture: "amd64", refused: true},
		"a pattern":              {list: "Test.* ./a | a cause | 1\n", architecture: "amd64", refused: true},
		"malformed after others": {list: everywhere + "TestB ./b\n", architecture: "amd64", refused: true},
		"four lines":             {list: strings.Repeat(armOnly, 4), architecture: "amd64", refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "list.txt")
			if err := os.WriteFile(list, []byte(test.list), 0o600); err != nil {
				t.Fatal(err)
			}
			command := exec.CommandContext(t.Context(), "sh", "../../tools/known-red.sh", list, test.architecture)
			got, err := command.Output()
			if refused := err != nil; refused != test.refused {
				t.Fatalf("refused = %t (%v), want %t", refused, err, test.refused)
			}
			if !test.refused && string(got) != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
