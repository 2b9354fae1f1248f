// Package strictjson decodes JSON documents that people write, such as settings. It
// rejects unknown and repeated fields. Each error states the field, its value and a
// remedy.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// FieldError describes one invalid field of a document.
type FieldError struct {
	Field  string // path of the field, such as classes[2].deadline
	Value  string // invalid value as written, may be empty
	Remedy string // what to write instead
}

// Error returns the field, the value and the remedy on one line.
func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: %s", e.Field, e.Remedy)
	}
	return fmt.Sprintf("%s: invalid value %s: %s", e.Field, e.Value, e.Remedy)
}

// Errors is a list of field errors.
type Errors []*FieldError

// Error returns one line for each invalid field.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a field error to the list. A nil value means that there is no value to
// show.
func (e *Errors) Add(field string, value any, remedy string) {
	v := ""
	if value != nil {
		b, err := json.Marshal(value)
		if err == nil {
			v = string(b)
		}
	}
	*e = append(*e, &FieldError{Field: field, Value: v, Remedy: remedy})
}

// Err returns e as an error, or nil when the list is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Decode decodes data into v, which must be a pointer to a struct. The error is an
// Errors.
func Decode(data []byte, v any) error {
	if err := checkRepeated(data); err != nil {
		return err
	}
	if errs := unknownFields(data, reflect.TypeOf(v), ""); len(errs) > 0 {
		return errs
	}
	if err := json.Unmarshal(data, v); err != nil {
		return describe(err)
	}
	return nil
}

// describe converts a decoding error to field errors with a remedy.
func describe(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Errors{{Field: typeErr.Field, Value: typeErr.Value, Remedy: "write a value of type " + typeName(typeErr.Type)}}
	}
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return Errors{fieldErr}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Errors{{Field: "document", Remedy: fmt.Sprintf("correct the JSON syntax at byte %d: %v", syntaxErr.Offset, syntaxErr)}}
	}
	return Errors{{Field: "document", Remedy: err.Error()}}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "list"
	case reflect.Struct, reflect.Map:
		return "object"
	}
	return "number"
}

// unknownFields returns an error for each key in data that is not a JSON field of t.
// It skips types that implement json.Unmarshaler.
func unknownFields(data []byte, t reflect.Type, path string) Errors {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return unknownStructFields(data, t, path)
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) != nil {
			return nil
		}
		var errs Errors
		for i, item := range items {
			errs = append(errs, unknownFields(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return errs
	}
	return nil
}

func unknownStructFields(data []byte, t reflect.Type, path string) Errors {
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil {
		return nil
	}
	fields := jsonFields(t)
	keys := make([]string, 0, len(object))
	for k := range object {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var errs Errors
	for _, k := range keys {
		fieldPath := strings.TrimPrefix(path+"."+k, ".")
		fieldType, ok := fields[k]
		if !ok {
			errs = append(errs, &FieldError{Field: fieldPath, Remedy: "unknown field; remove it or use one of " + fieldNames(fields)})
			continue
		}
		errs = append(errs, unknownFields(object[k], fieldType, fieldPath)...)
	}
	return errs
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}

func fieldNames(fields map[string]reflect.Type) string {
	list := make([]string, 0, len(fields))
	for n := range fields {
		list = append(list, n)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// checkRepeated rejects a document in which an object contains the same key twice,
// because encoding/json would silently use the last one.
func checkRepeated(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := checkValue(dec, ""); err != nil {
		return describe(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Errors{{Field: "document", Remedy: "remove what follows the first JSON value"}}
	}
	return nil
}

// checkValue reads one value from dec and returns an error for a repeated key in it.
func checkValue(dec *json.Decoder, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return err
	}
	switch tok {
	case json.Delim('{'):
		return checkObject(dec, path)
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if err := checkValue(dec, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
		_, err = dec.Token()
		return err
	}
	return nil
}

func checkObject(dec *json.Decoder, path string) error {
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return err
		}
		key, _ := tok.(string)
		fieldPath := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return &FieldError{Field: fieldPath, Remedy: "the field is given twice; keep one"}
		}
		seen[key] = true
		if err := checkValue(dec, fieldPath); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}
