package pgproto

import "testing"

// TestReader checks that fields are read in order, and that a read past the end returns a zero value and sets Invalid.
func TestReader(t *testing.T) {
	body := append([]byte("name\x00\x07\xff\xfe\xff\xfe"), Int32(-5)...)
	r := Reader{Rest: append(body, "rest"...)}
	if s, b, n, count, m := r.CString(), r.Byte(), r.Int16(), r.Count(), r.Int32(); s != "name" || b != 7 || n != -2 || count != 0xfffe || m != -5 {
		t.Errorf("read %q, %d, %d, %d, %d, want \"name\", 7, -2, 65534, -5", s, b, n, count, m)
	}
	if r.Complete() || r.Invalid {
		t.Errorf("with unread bytes: Complete = %v, Invalid = %v, want false and false", r.Complete(), r.Invalid)
	}
	if rest := r.Bytes(4); string(rest) != "rest" || !r.Complete() {
		t.Errorf("Bytes(4) = %q, then Complete = %v, want \"rest\" and true", rest, r.Complete())
	}
	for name, read := range map[string]func(*Reader) bool{
		"bytes":          func(r *Reader) bool { return r.Bytes(4) == nil },
		"negative bytes": func(r *Reader) bool { return r.Bytes(-1) == nil },
		"string":         func(r *Reader) bool { return r.CString() == "" },
		"number":         func(r *Reader) bool { return r.Int32() == 0 },
	} {
		short := Reader{Rest: []byte("abc")}
		if !read(&short) || !short.Invalid || short.Complete() {
			t.Errorf("%s past the end: Invalid = %v, Complete = %v, want a zero value, true and false", name, short.Invalid, short.Complete())
		}
	}
}
