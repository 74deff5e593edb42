package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
)

// MakePatch returns the RFC 7396 merge patch that turns one canonical text into another.
func MakePatch(from, to []byte) ([]byte, error) {
	before, err := decodeObject(from)
	if err != nil {
		return nil, fmt.Errorf("text to patch from: %w", err)
	}
	after, err := decodeObject(to)
	if err != nil {
		return nil, fmt.Errorf("text to patch to: %w", err)
	}
	return encodeAny(difference(before, after)), nil
}

// difference returns the merge patch that turns before into after. Neither may contain a null, which a patch
// can't express.
func difference(before, after map[string]any) map[string]any {
	patch := map[string]any{}
	for name := range before {
		if _, remains := after[name]; !remains {
			patch[name] = nil
		}
	}
	for name, value := range after {
		earlier, existed := before[name]
		if existed && reflect.DeepEqual(earlier, value) {
			continue
		}
		earlierObject, wasObject := earlier.(map[string]any)
		object, isObject := value.(map[string]any)
		if wasObject && isObject {
			patch[name] = difference(earlierObject, object)
		} else {
			patch[name] = value
		}
	}
	return patch
}

// ApplyPatch applies an RFC 7396 merge patch to a canonical text and returns a canonical text. It doesn't
// depend on the fields of Document, so that an agent can follow documents of a later Format.
func ApplyPatch(document, patch []byte) ([]byte, error) {
	before, err := decodeObject(document)
	if err != nil {
		return nil, fmt.Errorf("text to patch: %w", err)
	}
	changes, err := decodeObject(patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return encodeAny(mergePatch(before, changes)), nil
}

// mergePatch implements MergePatch of RFC 7396, section 2. It modifies target.
func mergePatch(target any, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for name, value := range changes {
		if value == nil {
			delete(object, name)
		} else {
			object[name] = mergePatch(object[name], value)
		}
	}
	return object
}

// decodeObject decodes a JSON object and keeps the text of each number.
func decodeObject(text []byte) (map[string]any, error) {
	value, err := decodeAny(text)
	if err != nil {
		return nil, err
	}
	object, ok := value.(map[string]any)
	if !ok {
		return nil, errors.New("no object")
	}
	return object, nil
}

// decodeAny decodes JSON and keeps the text of each number.
func decodeAny(text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something follows its end")
	}
	return value, nil
}

// encodeAny returns the canonical text of a value from decodeAny: no whitespace, sorted keys.
func encodeAny(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("configuration: " + err.Error()) // can't happen: the value holds only maps, strings, numbers and booleans
	}
	return text
}
