package pgproto

import "testing"

// Fields are read one after the other; past the end they are zero and the body is invalid.
func TestReader(t *testing.T) {
	body := append([]byte("name\x00\x07\xff\xfe\xff\xfe"), Int32(-5)...)
	r := Reader{Rest: append(body, "rest"...)}
	if s, b, n, count, m := r.CString(), r.Byte(), r.Int16(), r.Count(), r.Int32(); s != "name" || b != 7 || n != -2 || count != 0xfffe || m != -5 {
		t.Errorf("read %q, %d, %d, %d, %d", s, b, n, count, m)
	}
	if r.Complete() || r.Invalid {
		t.Errorf("complete %v, invalid %v with bytes left", r.Complete(), r.Invalid)
	}
	if rest := r.Bytes(4); string(rest) != "rest" || !r.Complete() {
		t.Errorf("read %q, complete %v", rest, r.Complete())
	}
	for name, read := range map[string]func(*Reader) bool{
		"bytes":          func(r *Reader) bool { return r.Bytes(4) == nil },
		"negative bytes": func(r *Reader) bool { return r.Bytes(-1) == nil },
		"string":         func(r *Reader) bool { return r.CString() == "" },
		"number":         func(r *Reader) bool { return r.Int32() == 0 },
	} {
		short := Reader{Rest: []byte("abc")}
		if !read(&short) || !short.Invalid || short.Complete() {
			t.Errorf("%s past the end: invalid %v, complete %v", name, short.Invalid, short.Complete())
		}
	}
}
