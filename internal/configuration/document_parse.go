package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// ParseDocument parses a document that a person or a program wrote. It refuses unknown fields, documents of a
// later Format and invalid values. Errors begin with the path of the field, such as
// classes.point-read.aim_ms.
func ParseDocument(raw []byte) (*Document, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, tooLongError(len(raw))
	}
	if !utf8.Valid(raw) {
		return nil, errors.New("document: not UTF-8")
	}
	if err := checkFormat(raw); err != nil {
		return nil, err
	}
	var d Document
	if err := decodeStrict(raw, &d); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	if length := len(d.Canonical()); length > MaxDocumentBytes {
		return nil, tooLongError(length)
	}
	return &d, nil
}

// tooLongError returns the error for a document over MaxDocumentBytes.
func tooLongError(length int) error {
	return fmt.Errorf("document: %d bytes, over %d", length, MaxDocumentBytes)
}

// checkFormat returns an error if the document has no Format or a later one. Of a later Format it reports
// nothing else, whatever other fields the document has.
func checkFormat(raw []byte) error {
	var d struct {
		Format *int `json:"format"`
	}
	err := json.Unmarshal(raw, &d)
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("document: byte %d: %w", syntax.Offset, err)
	case err != nil:
		return nil // decodeStrict reports the field
	case d.Format == nil:
		return errors.New("format: missing")
	case *d.Format > Format:
		return fmt.Errorf("format: %d is later than %d, which this program understands", *d.Format, Format)
	}
	return nil
}

// decodeStrict decodes JSON into a pointer to a struct whose fields are structs, maps with string keys,
// pointers, numbers and booleans. It refuses unknown and duplicate fields and null.
func decodeStrict(raw []byte, target any) error {
	d := strictDecoder{json.NewDecoder(bytes.NewReader(raw))}
	d.UseNumber()
	if err := d.value("", reflect.ValueOf(target).Elem()); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("document: something follows its end")
	}
	return nil
}

// strictDecoder decodes JSON token by token, so that errors can name the field and duplicate fields are found.
type strictDecoder struct{ *json.Decoder }

// value decodes the next value into target. path is the path of the field, for errors.
func (d strictDecoder) value(path string, target reflect.Value) error {
	token, err := d.Token()
	if err != nil {
		return fieldError(path, err.Error())
	}
	if token == nil {
		return fieldError(path, "null; leave out what is not to change")
	}
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch target.Kind() {
	case reflect.Struct, reflect.Map:
		if token != json.Delim('{') {
			return fieldError(path, "no object")
		}
		return d.object(path, target)
	case reflect.Bool:
		flag, ok := token.(bool)
		if !ok {
			return fieldError(path, "neither true nor false")
		}
		target.SetBool(flag)
	default:
		number, ok := token.(json.Number)
		if !ok {
			return fieldError(path, "no number")
		}
		return setNumber(path, number.String(), target)
	}
	return nil
}

// setNumber parses a number and stores it in an integer or floating-point target.
func setNumber(path, text string, target reflect.Value) error {
	if target.Kind() == reflect.Int {
		whole, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return fieldError(path, text+" is no whole number that this can be")
		}
		target.SetInt(whole)
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fieldError(path, text+" is no number that this can be")
	}
	target.SetFloat(number)
	return nil
}

// object decodes the members of an object after its opening brace has been read.
func (d strictDecoder) object(path string, target reflect.Value) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return fieldError(path, err.Error())
		}
		key := token.(string) // the decoder returns only strings as keys
		memberPath := joinPath(path, key)
		if seen[key] {
			return fieldError(memberPath, "twice")
		}
		seen[key] = true
		if err := d.member(memberPath, key, target); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return fieldError(path, err.Error())
	}
	return nil
}

// member decodes the value of one key into a struct field or map element.
func (d strictDecoder) member(path, key string, target reflect.Value) error {
	if target.Kind() == reflect.Struct {
		field, ok := fieldByName(target, key)
		if !ok {
			return fieldError(path, "unknown field")
		}
		return d.value(path, field)
	}
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	element := reflect.New(target.Type().Elem()).Elem()
	if err := d.value(path, element); err != nil {
		return err
	}
	target.SetMapIndex(reflect.ValueOf(key), element)
	return nil
}

// fieldByName returns the field of a struct that has the given JSON name.
func fieldByName(structValue reflect.Value, name string) (reflect.Value, bool) {
	for i := range structValue.NumField() {
		if jsonName(structValue.Type().Field(i)) == name {
			return structValue.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// jsonName returns the name of a struct field in JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// joinPath returns the path of a member of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldError returns an error that begins with the path of a field.
func fieldError(path, problem string) error {
	if path == "" {
		path = "document"
	}
	return fmt.Errorf("%s: %s", path, problem)
}
