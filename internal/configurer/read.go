package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

// errTrailing reports text after the settings' closing brace.
var errTrailing = eris.New("there is text after the settings")

// Read reads and checks the settings in a file.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings in %s: %w", file, err)
	}
	return s, nil
}

// Parse decodes and checks settings; unknown fields are errors.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if err := Decode(bytes.NewReader(data), &s); err != nil {
		return Settings{}, err
	}
	s.fillDefaults()
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode reads one JSON value and refuses unknown fields and trailing text.
func Decode(r io.Reader, v any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if err := decoder.CheckEncoding(data); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", explain(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

// explain names the field and the expected type of a value of the wrong type.
func explain(err error) error {
	wrong, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return err
	}
	return fmt.Errorf("%s: expected %s, found %s: %w", wrong.Field, wrong.Type, wrong.Value, err)
}
