package postgres

import (
	"errors"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"

	"github.com/google/go-cmp/cmp"
)

// TestCodec checks that statements, results and errors are unchanged after encoding and decoding, and that
// invalid ones are rejected: data from another gateway is validated as strictly as data from clients and engines.
func TestCodec(t *testing.T) {
	var c Codec
	bind := append([]byte{0, 0, 0, 2}, append(append(pgproto.Int32(3), "abc"...), append(pgproto.Int32(-1), 0, 0)...)...)
	for _, want := range []*pgproto.Statement{
		{Query: "SELECT $1, $2", ParameterTypes: []byte{0, 1, 0, 0, 0, 23}, Bind: bind},
		{Query: "SELECT 1", ParameterTypes: []byte{0, 0}, DescribeOnly: true},
	} {
		encoded, err := c.Statement(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.ReadStatement(encoded)
		if diff := cmp.Diff(core.Statement(want), got); err != nil || diff != "" {
			t.Errorf("ReadStatement: error %v, diff (-want +got):\n%s", err, diff)
		}
	}
	row := pgproto.AppendMessage(nil, 'D', []byte{0, 0})
	result := &pgproto.Result{RowDescription: []byte{0, 0}, Rows: append(row, row...), RowCount: 2, Tag: "SELECT 2"}
	encoded, err := c.Result(result)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.ReadResult(encoded)
	if diff := cmp.Diff(core.Result(result), got); err != nil || diff != "" {
		t.Errorf("ReadResult: error %v, diff (-want +got):\n%s", err, diff)
	}
	engineError := &pgproto.Error{Severity: "ERROR", Code: "42P01", Message: "no such table"}
	detail, err := c.ReadDetail(c.Detail(engineError))
	decoded := pgproto.AsError(detail)
	if err != nil || decoded == nil || decoded.Code != engineError.Code ||
		decoded.Severity != engineError.Severity || decoded.Message != engineError.Message {
		t.Errorf("ReadDetail = %v, error %v, want %v", decoded, err, engineError)
	}
	if got := c.Detail(errors.New("other")); got != nil {
		t.Errorf("Detail of an error that is not from an engine = %x, want nil", got)
	}
	valid := pgproto.Statement{Query: "SELECT 1", ParameterTypes: []byte{0, 0}, Bind: []byte{0, 0, 0, 0, 0, 0}}
	for name, change := range map[string]func(*pgproto.Statement){
		"part of a transaction":        func(s *pgproto.Statement) { s.BeginQuery = "BEGIN" },
		"empty query":                  func(s *pgproto.Statement) { s.Query = "" },
		"NUL character in the query":   func(s *pgproto.Statement) { s.Query = "SELECT\x00" },
		"query not UTF-8":              func(s *pgproto.Statement) { s.Query = "\xff" },
		"truncated parameter types":    func(s *pgproto.Statement) { s.ParameterTypes = []byte{0, 1} },
		"missing parameter types":      func(s *pgproto.Statement) { s.ParameterTypes = nil },
		"truncated parameter values":   func(s *pgproto.Statement) { s.Bind = []byte{0, 0, 0, 1, 0, 0, 0, 9} },
		"extra bytes after the values": func(s *pgproto.Statement) { s.Bind = append(s.Bind, 'Q') },
		"value length below -1":        func(s *pgproto.Statement) { s.Bind = []byte{0, 0, 0, 1, 0xff, 0xff, 0xff, 0xfe, 0, 0} },
	} {
		s := valid
		s.Bind = append([]byte{}, valid.Bind...)
		change(&s)
		encoded, err := c.Statement(&s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadStatement(encoded); err == nil {
			t.Errorf("%s: ReadStatement succeeded, want an error", name)
		}
	}
	for name, r := range map[string]*pgproto.Result{
		"more rows than the row count": {Rows: append(row, row...), RowCount: 1},
		"truncated rows":               {Rows: row[:len(row)-1], RowCount: 1},
		"message that is not a row":    {Rows: pgproto.AppendMessage(nil, 'E', []byte{0}), RowCount: 1},
		"NUL character in the tag":     {Tag: "SELECT 1\x00Z"},
		"rows larger than the limit":   {Rows: make([]byte, MaxResultBytes+1)},
	} {
		encoded, err := c.Result(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadResult(encoded); err == nil {
			t.Errorf("%s: ReadResult succeeded, want an error", name)
		}
	}
}
