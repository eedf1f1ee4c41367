package postgres

import (
	"errors"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"

	"github.com/google/go-cmp/cmp"
)

// What another gateway sends is checked as what clients and engines send is.
func TestCodec(t *testing.T) {
	var c Codec
	bind := append([]byte{0, 0, 0, 2}, append(append(pgproto.Int32(3), "abc"...), append(pgproto.Int32(-1), 0, 0)...)...)
	for _, want := range []*pgproto.Statement{
		{Query: "SELECT $1, $2", ParameterTypes: []byte{0, 1, 0, 0, 0, 23}, Bind: bind},
		{Query: "SELECT 1", ParameterTypes: []byte{0, 0}, DescribeOnly: true},
	} {
		enc, err := c.Statement(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.ReadStatement(enc)
		if diff := cmp.Diff(core.Statement(want), got); err != nil || diff != "" {
			t.Error(err, diff)
		}
	}
	row := pgproto.AppendMessage(nil, 'D', []byte{0, 0})
	result := &pgproto.Result{RowDescription: []byte{0, 0}, Rows: append(row, row...), RowCount: 2, Tag: "SELECT 2"}
	enc, err := c.Result(result)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.ReadResult(enc)
	if diff := cmp.Diff(core.Result(result), got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	e := &pgproto.Error{Severity: "ERROR", Code: "42P01", Message: "no such table"}
	detail, err := c.ReadDetail(c.Detail(e))
	decoded := pgproto.AsError(detail)
	if err != nil || decoded == nil || decoded.Code != e.Code || decoded.Severity != e.Severity || decoded.Message != e.Message {
		t.Errorf("ReadDetail = %v, %v, want %v", decoded, err, e)
	}
	if c.Detail(errors.New("other")) != nil {
		t.Error("what is no error was written")
	}
	good := pgproto.Statement{Query: "SELECT 1", ParameterTypes: []byte{0, 0}, Bind: []byte{0, 0, 0, 0, 0, 0}}
	for name, change := range map[string]func(*pgproto.Statement){
		"a transaction":      func(s *pgproto.Statement) { s.BeginQuery = "BEGIN" },
		"no text":            func(s *pgproto.Statement) { s.Query = "" },
		"a zero":             func(s *pgproto.Statement) { s.Query = "SELECT\x00" },
		"not UTF-8":          func(s *pgproto.Statement) { s.Query = "\xff" },
		"types cut short":    func(s *pgproto.Statement) { s.ParameterTypes = []byte{0, 1} },
		"no types":           func(s *pgproto.Statement) { s.ParameterTypes = nil },
		"values cut short":   func(s *pgproto.Statement) { s.Bind = []byte{0, 0, 0, 1, 0, 0, 0, 9} },
		"more behind values": func(s *pgproto.Statement) { s.Bind = append(s.Bind, 'Q') },
		"a length below -1":  func(s *pgproto.Statement) { s.Bind = []byte{0, 0, 0, 1, 0xff, 0xff, 0xff, 0xfe, 0, 0} },
	} {
		s := good
		s.Bind = append([]byte{}, good.Bind...)
		change(&s)
		enc, err := c.Statement(&s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadStatement(enc); err == nil {
			t.Errorf("%s: it was taken", name)
		}
	}
	for name, r := range map[string]*pgproto.Result{
		"more rows than said":   {Rows: append(row, row...), RowCount: 1},
		"rows cut short":        {Rows: row[:len(row)-1], RowCount: 1},
		"another message":       {Rows: pgproto.AppendMessage(nil, 'E', []byte{0}), RowCount: 1},
		"a tag that goes on":    {Tag: "SELECT 1\x00Z"},
		"more than may be held": {Rows: make([]byte, MaxResultBytes+1)},
	} {
		enc, err := c.Result(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadResult(enc); err == nil {
			t.Errorf("%s: it was taken", name)
		}
	}
}
