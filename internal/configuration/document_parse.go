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

// ParseDocument reads a document that a person or a program wrote. It refuses unknown fields, documents of a later
// Format and values that can't be, and names the field by its path, as in classes.point-read.aim_ms.
func ParseDocument(raw []byte) (*Document, error) {
	if len(raw) > DocumentMost {
		return nil, tooLong(len(raw))
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
	if length := len(d.Canonical()); length > DocumentMost {
		return nil, tooLong(length)
	}
	return &d, nil
}

func tooLong(length int) error {
	return fmt.Errorf("document: %d bytes, over %d", length, DocumentMost)
}

// checkFormat refuses a document of a later Format as that, whatever else it holds.
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
		return nil // decodeStrict names the field
	case d.Format == nil:
		return errors.New("format: missing")
	case *d.Format > Format:
		return fmt.Errorf("format: %d is later than %d, which this program understands", *d.Format, Format)
	}
	return nil
}

// decodeStrict decodes JSON into a pointer to a struct of structs, maps by name, pointers, numbers and booleans.
func decodeStrict(raw []byte, into any) error {
	d := strictDecoder{json.NewDecoder(bytes.NewReader(raw))}
	d.UseNumber()
	if err := d.value("", reflect.ValueOf(into).Elem()); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("document: something follows its end")
	}
	return nil
}

type strictDecoder struct{ *json.Decoder }

// value decodes the next value; path names it in errors.
func (d strictDecoder) value(path string, into reflect.Value) error {
	token, err := d.Token()
	if err != nil {
		return fieldError(path, err.Error())
	}
	if token == nil {
		return fieldError(path, "null; leave out what is not to change")
	}
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch into.Kind() {
	case reflect.Struct, reflect.Map:
		if token != json.Delim('{') {
			return fieldError(path, "no object")
		}
		return d.object(path, into)
	case reflect.Bool:
		flag, ok := token.(bool)
		if !ok {
			return fieldError(path, "neither true nor false")
		}
		into.SetBool(flag)
	default:
		number, ok := token.(json.Number)
		if !ok {
			return fieldError(path, "no number")
		}
		return setNumber(path, number.String(), into)
	}
	return nil
}

func setNumber(path, text string, into reflect.Value) error {
	if into.Kind() == reflect.Int {
		whole, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return fieldError(path, text+" is no whole number that this can be")
		}
		into.SetInt(whole)
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fieldError(path, text+" is no number that this can be")
	}
	into.SetFloat(number)
	return nil
}

// object decodes the members of an object whose opening brace has been read.
func (d strictDecoder) object(path string, into reflect.Value) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return fieldError(path, err.Error())
		}
		key := token.(string) // the decoder has nothing else here
		memberPath := join(path, key)
		if seen[key] {
			return fieldError(memberPath, "twice")
		}
		seen[key] = true
		if err := d.member(memberPath, key, into); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return fieldError(path, err.Error())
	}
	return nil
}

func (d strictDecoder) member(path, key string, into reflect.Value) error {
	if into.Kind() == reflect.Struct {
		field, ok := fieldByName(into, key)
		if !ok {
			return fieldError(path, "unknown field")
		}
		return d.value(path, field)
	}
	if into.IsNil() {
		into.Set(reflect.MakeMap(into.Type()))
	}
	element := reflect.New(into.Type().Elem()).Elem()
	if err := d.value(path, element); err != nil {
		return err
	}
	into.SetMapIndex(reflect.ValueOf(key), element)
	return nil
}

// fieldByName finds a struct's field by its name in JSON.
func fieldByName(of reflect.Value, name string) (reflect.Value, bool) {
	for i := range of.NumField() {
		if jsonName(of.Type().Field(i)) == name {
			return of.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldError(path, what string) error {
	if path == "" {
		path = "document"
	}
	return fmt.Errorf("%s: %s", path, what)
}
