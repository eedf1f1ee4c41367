package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// tomlLine returns the line of a field such as statement[1].class, in tables and arrays of tables, or 0 where it has none. For a
// field that is missing it is the line of its table.
func tomlLine(raw []byte, field string) int {
	place := splitTOMLField(field)
	header := tomlHeader{}
	fallback := 0
	count := map[string]int{} // of the tables of each array so far
	for n, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		if !strings.HasPrefix(text, "[") {
			key, _, isAssignment := strings.Cut(text, "=")
			key = strings.Trim(strings.TrimSpace(key), `"'`)
			if isAssignment && key == place.name && header.table == place.table && (place.table == "" || header.index == place.index) {
				return n + 1
			}
			continue
		}
		header = parseTOMLHeader(text, count)
		if header == place.tomlHeader || header.table == field {
			fallback = n + 1
		}
	}
	return fallback
}

// tomlHeader is a table, or one of an array of tables.
type tomlHeader struct {
	table string
	index int
}

// tomlField is a key in a table.
type tomlField struct {
	tomlHeader
	name string
}

// splitTOMLField parses a field's name. The index of an element of a list is dropped: lists stand on one line.
func splitTOMLField(field string) tomlField {
	place := tomlField{name: field}
	if dot := strings.LastIndexByte(field, '.'); dot >= 0 {
		place.table = field[:dot]
		place.name = field[dot+1:]
	}
	place.name, _, _ = strings.Cut(place.name, "[")
	if bracket := strings.LastIndexByte(place.table, '['); bracket >= 0 {
		place.index, _ = strconv.Atoi(strings.TrimSuffix(place.table[bracket+1:], "]"))
		place.table = place.table[:bracket]
	}
	return place
}

// parseTOMLHeader reads a line that begins a table, and counts it where it is one of an array.
func parseTOMLHeader(line string, count map[string]int) tomlHeader {
	withoutComment, _, _ := strings.Cut(line, "#")
	name := strings.TrimSpace(strings.Trim(withoutComment, "[] \t"))
	if !strings.HasPrefix(line, "[[") {
		return tomlHeader{table: name}
	}
	index := count[name]
	count[name]++
	return tomlHeader{table: name, index: index}
}

// jsonLine returns the line of a field such as known.batch[0].topology. For a field that is missing it is the line of the
// innermost object that should hold it.
func jsonLine(raw []byte, field string) int {
	l := jsonLocator{raw: raw, field: field, decoder: json.NewDecoder(bytes.NewReader(raw)), longest: -1}
	_ = l.walk("") // what follows a syntax error has no lines
	return l.line
}

// jsonLocator walks a document and keeps the line of the longest path that leads to the field.
type jsonLocator struct {
	raw     []byte
	field   string
	decoder *json.Decoder
	line    int
	longest int // length of the path at line; -1: none yet
}

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

func (l *jsonLocator) visit(path string) {
	leads := l.field == path || strings.HasPrefix(l.field, path+".") || strings.HasPrefix(l.field, path+"[")
	if !leads || len(path) <= l.longest {
		return
	}
	l.longest = len(path)
	read := min(int(l.decoder.InputOffset()), len(l.raw))
	l.line = 1 + bytes.Count(l.raw[:read], []byte("\n"))
}
