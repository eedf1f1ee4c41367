package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

var (
	// Matches a name of dotted words in backquotes: a log event, a counter, a metric or a settings key.
	dottedName = regexp.MustCompile("`([a-z_]+(?:\\.[a-zA-Z*_-]+)+)`")
	// Matches the placeholder that a guide writes as the last part of a name for any class, state or reason.
	placeholder = regexp.MustCompile(`\.(\*|[A-Z_]+)$`)
	// Matches a command-line flag.
	guideFlag = regexp.MustCompile(`(?:^|[ ` + "`" + `])--([a-z][a-z-]*)`)
	// Matches a call of a program with a command.
	guideCall = regexp.MustCompile(`bin/(gateway|testbed) ([a-z]+)`)
)

// notInPrograms are dotted names in the guides that no program of the repository prints or reads.
var notInPrograms = []string{"users.toml", "play.name", "play.fault", "play.drawn"}

// TestGuidesNameWhatExists guards against guides that fall behind the code: each log event, counter, metric,
// settings key, flag and command that the operators' guides name must exist in the programs.
func TestGuidesNameWhatExists(t *testing.T) {
	literals := programLiterals(t)
	settings := settingsKeys(t)
	flags := commandLineFlags(t)
	commands := commandNames(t)
	guides, err := filepath.Glob("../../docs/operate/*.md")
	if err != nil || len(guides) == 0 {
		t.Fatalf("got no guides in docs/operate (error %v), want at least one", err)
	}
	for _, path := range append(guides, "../../README.md") {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			for _, match := range dottedName.FindAllStringSubmatch(string(raw), -1) {
				name := match[1]
				known := slices.Contains(notInPrograms, name) || settings[name] || isPrinted(name, literals)
				isFile := strings.HasSuffix(name, ".md") || strings.HasSuffix(name, ".sh")
				if !known && !isFile {
					t.Errorf("got the name %s, which no program prints or reads; want a name of the programs", name)
				}
			}
			for _, match := range guideFlag.FindAllStringSubmatch(string(raw), -1) {
				if !flags[match[1]] {
					t.Errorf("got the flag --%s, which no command has; want a flag of the programs", match[1])
				}
			}
			for _, match := range guideCall.FindAllStringSubmatch(string(raw), -1) {
				if !commands[match[2]] {
					t.Errorf("got the command %[2]s, which %[1]s does not have; want a command of the programs", match[1], match[2])
				}
			}
		})
	}
}

// isPrinted reports whether the programs have a literal equal to the name, or one that is a prefix of it and
// ends in a dot, as for names that are composed with a class or a state. A metric, which begins with "lb.", is
// looked up without that prefix and without "calls.CLASS".
func isPrinted(name string, literals map[string]bool) bool {
	if metric, ok := strings.CutPrefix(name, "lb."); ok {
		name = strings.TrimPrefix(metric, "calls.CLASS")
		return literals[name]
	}
	if prefix := placeholder.ReplaceAllString(name, "."); prefix != name {
		name = prefix
	}
	if literals[name] {
		return true
	}
	for end := strings.LastIndexByte(name, '.'); end > 0; end = strings.LastIndexByte(name[:end], '.') {
		if literals[name[:end+1]] {
			return true
		}
	}
	return false
}

// programLiterals returns the set of all string literals in the module's non-test Go files.
func programLiterals(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{"../../cmd", "../../internal", "../../policy"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			for _, literal := range stringLiterals(t, path) {
				found[literal] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// settingsKeys returns the keys of the settings object from the table of package config.
func settingsKeys(t *testing.T) map[string]bool {
	t.Helper()
	table, err := os.ReadFile("../config/testdata/settings-keys.tsv")
	if err != nil {
		t.Fatal(err)
	}
	keys := map[string]bool{}
	for line := range strings.Lines(string(table)) {
		key, _, _ := strings.Cut(line, "\t")
		keys[key] = true
	}
	return keys
}

// commandLineFlags returns the flags that the structs of the command lines declare.
func commandLineFlags(t *testing.T) map[string]bool {
	t.Helper()
	flags := map[string]bool{"help": true}
	for _, dir := range []string{"../../cmd/gateway", "../../cmd/testbed"} {
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if field, ok := n.(*ast.Field); ok {
					maps.Copy(flags, flagsOf(field))
				}
				return true
			})
		}
	}
	return flags
}

// flagsOf returns the flags that one struct field declares: the name in its tag or, without one, the field's
// name in kebab case.
func flagsOf(field *ast.Field) map[string]bool {
	flags := map[string]bool{}
	if field.Tag != nil {
		tag, _ := strconv.Unquote(field.Tag.Value)
		if _, rest, ok := strings.Cut(tag, `name:"`); ok {
			name, _, _ := strings.Cut(rest, `"`)
			flags[name] = true
			return flags
		}
	}
	for _, name := range field.Names {
		flags[kebabCase(name.Name)] = true
	}
	return flags
}

// kebabCase converts a field name to its flag name, as in log-format for LogFormat.
func kebabCase(name string) string {
	var b strings.Builder
	afterLower := false
	for _, r := range name {
		if unicode.IsUpper(r) && afterLower {
			b.WriteByte('-')
		}
		afterLower = unicode.IsLower(r)
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// commandNames returns the words of each line of the programs' help up to the first argument in brackets. They
// include all commands and subcommands.
func commandNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, dir := range []string{"./cmd/gateway", "./cmd/testbed"} {
		help := exec.CommandContext(t.Context(), "go", "run", dir, "--help")
		help.Dir = "../.."
		out, err := help.Output()
		if err != nil {
			t.Fatalf("%s --help: %v", dir, err)
		}
		for line := range strings.Lines(string(out)) {
			for _, word := range strings.Fields(line) {
				names[word] = true
				if strings.HasPrefix(word, "<") || strings.HasPrefix(word, "[") {
					break
				}
			}
		}
	}
	return names
}
