package configuration

import "errors"

var errStub = errors.New("not built yet")

// ParseDocument reads a document that a person or a program wrote. It refuses unknown fields, documents of a later
// Format and values that can't be, and names the field by its path, as in classes.point-read.aim_ms.
func ParseDocument(raw []byte) (*Document, error) { return nil, errStub }

// Check refuses values that can't be and names the field by its path.
func (d *Document) Check() error { return errStub }
