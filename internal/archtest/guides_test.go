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
	// A name of dotted words in backquotes: a log event, a counter, a figure or a settings key.
	dottedName = regexp.MustCompile("`([a-z_]+(?:\\.[a-zA-Z*_-]+)+)`")
	// What a guide writes for any class, state or reason.
	placeholder = regexp.MustCompile(`\.(\*|[A-Z_]+)$`)
	guideFlag   = regexp.MustCompile(`(?:^|[ ` + "`" + `])--([a-z][a-z-]*)`)
	guideCall   = regexp.MustCompile(`bin/(gateway|testbed) ([a-z]+)`)
)

// notInPrograms are dotted names in guides that no program of the repository prints or reads under that name.
var notInPrograms = []string{"users.toml", "play.name", "play.fault", "play.drawn"}

// TestGuidesNameWhatExists reads the operators' guides: each log event, counter, figure, settings key, flag and command that
// they name must be in the programs.
func TestGuidesNameWhatExists(t *testing.T) {
	literals := programLiterals(t)
	settings := settingsKeys(t)
	flags := commandLineFlags(t)
	commands := commandNames(t)
	guides, err := filepath.Glob("../../docs/operate/*.md")
	if err != nil || len(guides) == 0 {
		t.Fatalf("no guides: %v", err)
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
					t.Errorf("no program prints or reads %s", name)
				}
			}
			for _, match := range guideFlag.FindAllStringSubmatch(string(raw), -1) {
				if !flags[match[1]] {
					t.Errorf("no command has a flag --%s", match[1])
				}
			}
			for _, match := range guideCall.FindAllStringSubmatch(string(raw), -1) {
				if !commands[match[2]] {
					t.Errorf("%s has no command %s", match[1], match[2])
				}
			}
		})
	}
}

// isPrinted reports whether the programs have a literal of the name, or one that it begins with and that ends in a dot, as
// names with a class or a state are put together.
func isPrinted(name string, literals map[string]bool) bool {
	if figure, ok := strings.CutPrefix(name, "lb."); ok {
		name = strings.TrimPrefix(figure, "calls.CLASS")
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

// programLiterals are all string literals of the program files of the module.
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

// settingsKeys are the keys of the settings object, as the table of package config lists them.
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

// commandLineFlags are the flags that the structs of the command lines declare.
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

// flagsOf are the flags of one field: named by its tag, else after the field.
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

// kebabCase is a flag's name for a field's, as in log-format for LogFormat.
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

// commandNames are the commands that the programs' help lists, at any depth of their grammar.
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
