package costmodel

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// State is what a model has learned, in a form that can be written down. Its layout goes
// with Layout: one of another layout can't be taken.
type State struct {
	Prior  priorModel  `cbor:"Prior"`
	Shared sharedState `cbor:"Common"`
}

// Layout changes whenever what a State or an Entry holds changes its meaning.
const StateLayout = 1

// State is a copy of what the model has learned.
func (m *Model) State() *State { return &State{Prior: *m.prior, Shared: m.sharedState} }

// ErrState is a state that no model can have come to.
var ErrInvalidState = errors.New("a state that can't be")

// Restore returns a model that goes on from a state. A state with a figure that is no
// number is refused: it would spoil every estimate.
func Restore(cfg Config, s *State) (*Model, error) {
	if err := checkFinite(reflect.ValueOf(s).Elem(), "state"); err != nil {
		return nil, err
	}
	m := New(cfg)
	p := s.Prior
	m.prior, m.sharedState = &p, s.Shared
	return m, nil
}

// Check tells whether an entry can have come to be.
func (e *ShapeRecord) Validate() error { return checkFinite(reflect.ValueOf(e).Elem(), "entry") }

func checkFinite(v reflect.Value, name string) error {
	switch v.Kind() {
	case reflect.Float32, reflect.Float64:
		if x := v.Float(); math.IsNaN(x) || math.Abs(x) > 1e12 {
			return fmt.Errorf("%w: %s is %g", ErrInvalidState, name, x)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if err := checkFinite(v.Field(i), name+"."+v.Type().Field(i).Tag.Get("cbor")); err != nil {
				return err
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			if err := checkFinite(v.Index(i), fmt.Sprintf("%s[%d]", name, i)); err != nil {
				return err
			}
		}
	}
	return nil
}
