package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// tomlLine returns the line of a field such as statement[1].class in a TOML document, or 0 if it is not found. For a missing
// field, and for a field that is a table itself, it returns the line of the table's header.
func tomlLine(raw []byte, field string) int {
	wanted := splitTOMLField(field)
	header := tomlHeader{}
	headerLine := 0            // line of the header of the field's table
	counts := map[string]int{} // number of tables seen so far, by array of tables
	for n, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		if !strings.HasPrefix(text, "[") {
			key, _, isAssignment := strings.Cut(text, "=")
			key = strings.Trim(strings.TrimSpace(key), `"'`)
			if isAssignment && key == wanted.name && header.table == wanted.table && (wanted.table == "" || header.index == wanted.index) {
				return n + 1
			}
			continue
		}
		header = parseTOMLHeader(text, counts)
		if header == wanted.tomlHeader || header.table == field {
			headerLine = n + 1
		}
	}
	return headerLine
}

// tomlHeader identifies a table, or one element of an array of tables.
type tomlHeader struct {
	table string // "" for the top level
	index int    // position in the array of tables, from 0; 0 for a plain table
}

// tomlField identifies a key in a table.
type tomlField struct {
	tomlHeader
	name string
}

// splitTOMLField splits the path of a field into its table and key. The index of a list element is dropped: every element is
// located at the line of the list's key.
func splitTOMLField(field string) tomlField {
	parsed := tomlField{name: field}
	if dot := strings.LastIndexByte(field, '.'); dot >= 0 {
		parsed.table = field[:dot]
		parsed.name = field[dot+1:]
	}
	parsed.name, _, _ = strings.Cut(parsed.name, "[")
	if bracket := strings.LastIndexByte(parsed.table, '['); bracket >= 0 {
		parsed.index, _ = strconv.Atoi(strings.TrimSuffix(parsed.table[bracket+1:], "]"))
		parsed.table = parsed.table[:bracket]
	}
	return parsed
}

// parseTOMLHeader parses the header line of a table. For an element of an array of tables it takes the index from counts, the
// number of elements so far by array, and adds the element.
func parseTOMLHeader(line string, counts map[string]int) tomlHeader {
	withoutComment, _, _ := strings.Cut(line, "#")
	name := strings.TrimSpace(strings.Trim(withoutComment, "[] \t"))
	if !strings.HasPrefix(line, "[[") {
		return tomlHeader{table: name}
	}
	index := counts[name]
	counts[name]++
	return tomlHeader{table: name, index: index}
}

// jsonLine returns the line of a field such as known.batch[0].topology in a JSON document. For a missing field it returns the
// line of the innermost enclosing object that is present, or 0.
func jsonLine(raw []byte, field string) int {
	l := jsonLocator{raw: raw, field: field, decoder: json.NewDecoder(bytes.NewReader(raw)), longest: -1}
	_ = l.walk("") // after a syntax error no further fields are located
	return l.line
}

// jsonLocator walks a JSON document and records the line of the longest path that is a prefix of the field's path.
type jsonLocator struct {
	raw     []byte
	field   string // path of the field to locate
	decoder *json.Decoder
	line    int // line of the longest prefix found so far; 0 if none
	longest int // length of that prefix; -1 if none
}

// walk reads the next value, whose path is given, and visits every path within it.
func (l *jsonLocator) walk(path string) error {
	token, err := l.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		err = l.walkObject(path)
	case json.Delim('['):
		err = l.walkList(path)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = l.decoder.Token() // the closing delimiter
	return err
}

// walkObject visits the members of an object up to its closing delimiter.
func (l *jsonLocator) walkObject(path string) error {
	for l.decoder.More() {
		key, err := l.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		if path != "" {
			name = path + "." + name
		}
		l.visit(name)
		if err := l.walk(name); err != nil {
			return err
		}
	}
	return nil
}

// walkList visits the elements of a list up to its closing delimiter.
func (l *jsonLocator) walkList(path string) error {
	for i := 0; l.decoder.More(); i++ {
		element := fmt.Sprintf("%s[%d]", path, i)
		l.visit(element)
		if err := l.walk(element); err != nil {
			return err
		}
	}
	return nil
}

// visit records the current line if the path is the longest prefix of the field's path so far.
func (l *jsonLocator) visit(path string) {
	isPrefix := l.field == path || strings.HasPrefix(l.field, path+".") || strings.HasPrefix(l.field, path+"[")
	if !isPrefix || len(path) <= l.longest {
		return
	}
	l.longest = len(path)
	offset := min(int(l.decoder.InputOffset()), len(l.raw))
	l.line = 1 + bytes.Count(l.raw[:offset], []byte("\n"))
}
