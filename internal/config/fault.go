package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Fault is one thing that is wrong with a file of settings.
type Fault struct {
	File  string
	Line  int    // from 1; 0: the field is missing or its place is not known
	Field string // as in statement[0].class
	Want  string // what is wrong with it, and what is wanted
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return at + ": " + f.Want
	}
	return at + ": " + f.Field + ": " + f.Want
}

// Faults are all that one pass found.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// FaultsOf are the faults that an error tells of.
func FaultsOf(err error) Faults {
	var all Faults
	var one Fault
	switch {
	case err == nil:
		return nil
	case errors.As(err, &all):
		return all
	case errors.As(err, &one):
		return Faults{one}
	}
	return Faults{{Want: err.Error()}}
}

// checker collects the faults of one file.
type checker struct {
	file   string
	locate func(field string) int
	faults Faults
}

func (c *checker) add(field, format string, args ...any) {
	f := Fault{File: c.file, Field: field, Want: fmt.Sprintf(format, args...)}
	if c.locate != nil {
		f.Line = c.locate(field)
	}
	c.faults = append(c.faults, f)
}

func (c *checker) must(ok bool, field, format string, args ...any) {
	if !ok {
		c.add(field, format, args...)
	}
}

func (c *checker) address(field, addr string) {
	if err := checkAddr(addr); err != nil {
		c.add(field, "%v; wanted is HOST:PORT", err)
	}
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

// decodeTOML reads TOML strictly: a field that is not known is a fault.
func decodeTOML(c *checker, raw []byte, into any) (ok bool) {
	c.locate = func(field string) int { return tomlLine(raw, field) }
	meta, err := toml.Decode(string(raw), into)
	if err != nil {
		f := Fault{File: c.file, Want: err.Error()}
		var p toml.ParseError
		if errors.As(err, &p) {
			f.Line, f.Field, f.Want = p.Position.Line, p.LastKey, p.Message
			if f.Want == "" {
				f.Want = err.Error()
			}
		}
		c.faults = append(c.faults, f)
		return false
	}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "there is no such field")
	}
	return true
}

// tomlLine finds the line of a field, as in statement[1].class, in tables and arrays of
// tables; 0 where it has none. Of a field that is missing it is the line of its table.
func tomlLine(raw []byte, field string) int {
	table, name := "", field
	if i := strings.LastIndexByte(field, '.'); i >= 0 {
		table, name = field[:i], field[i+1:]
	}
	if i := strings.IndexByte(name, '['); i >= 0 { // an element of a list that stands on one line
		name = name[:i]
	}
	wantIndex := 0
	if i := strings.LastIndexByte(table, '['); i >= 0 {
		wantIndex, _ = strconv.Atoi(strings.TrimSuffix(table[i+1:], "]"))
		table = table[:i]
	}
	at, index, fallback := "", 0, 0
	counts := map[string]int{}
	for n, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		switch {
		case strings.HasPrefix(text, "[["):
			at = strings.TrimSpace(strings.Trim(strings.SplitN(text, "#", 2)[0], "[] \t"))
			index = counts[at]
			counts[at]++
		case strings.HasPrefix(text, "["):
			at, index = strings.TrimSpace(strings.Trim(strings.SplitN(text, "#", 2)[0], "[] \t")), 0
		default:
			key, _, ok := strings.Cut(text, "=")
			if ok && at == table && (table == "" || index == wantIndex) && strings.Trim(strings.TrimSpace(key), `"'`) == name {
				return n + 1
			}
			continue
		}
		if at == table && index == wantIndex || at == field {
			fallback = n + 1
		}
	}
	return fallback
}

// jsonLine finds the line of a field, as in known.batch[0].topology, in JSON; of one that
// is missing the line of what it is missing in.
func jsonLine(raw []byte, field string) int {
	d := json.NewDecoder(bytes.NewReader(raw))
	line := func() int { return 1 + bytes.Count(raw[:min(int(d.InputOffset()), len(raw))], []byte("\n")) }
	best, bestLen := 0, -1
	var walk func(path string) error
	visit := func(path string) {
		if (field == path || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[")) && len(path) > bestLen {
			best, bestLen = line(), len(path)
		}
	}
	walk = func(path string) error {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'):
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return err
				}
				name, _ := key.(string)
				if path != "" {
					name = path + "." + name
				}
				visit(name)
				if err := walk(name); err != nil {
					return err
				}
			}
		case json.Delim('['):
			for i := 0; d.More(); i++ {
				visit(fmt.Sprintf("%s[%d]", path, i))
				if err := walk(fmt.Sprintf("%s[%d]", path, i)); err != nil {
					return err
				}
			}
		default:
			return nil
		}
		_, err = d.Token()
		return err
	}
	if err := walk(""); err != nil && !errors.Is(err, io.EOF) {
		return best
	}
	return best
}
