package costmodel

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// State is what a model has learned over all shapes, in the form that snapshots store. A snapshot with
// another StateLayout can't be restored.
type State struct {
	Prior  priorModel  `cbor:"Prior"`
	Shared sharedState `cbor:"Common"`
}

// StateLayout is the version of the stored form. It changes whenever a field of State or ShapeRecord
// changes its meaning.
const StateLayout = 1

// maxMagnitude bounds the absolute value of each number in a state.
const maxMagnitude = 1e12

// State returns a copy of what the model has learned.
func (m *Model) State() *State { return &State{Prior: *m.prior, Shared: m.sharedState} }

// ErrInvalidState is returned for a state or record with a number that no model can have learned.
var ErrInvalidState = errors.New("invalid state")

// Restore returns a model that continues from a state. A state with a NaN, an infinity or a number out
// of range is rejected with ErrInvalidState: it would corrupt every estimate.
func Restore(cfg Config, s *State) (*Model, error) {
	if err := checkFinite(reflect.ValueOf(s).Elem(), "state"); err != nil {
		return nil, err
	}
	m := New(cfg)
	prior := s.Prior
	m.prior = &prior
	m.sharedState = s.Shared
	return m, nil
}

// Validate returns ErrInvalidState for a record with a NaN, an infinity or a number out of range.
func (r *ShapeRecord) Validate() error { return checkFinite(reflect.ValueOf(r).Elem(), "record") }

// checkFinite checks all floating-point numbers within a value. Its errors name a number by the path of
// its stored field names below name.
func checkFinite(v reflect.Value, name string) error {
	switch v.Kind() {
	case reflect.Float32, reflect.Float64:
		if x := v.Float(); math.IsNaN(x) || math.Abs(x) > maxMagnitude {
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
