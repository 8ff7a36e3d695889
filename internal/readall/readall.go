// Package readall reads whole bodies of bounded length.
package readall

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong is returned if there are more bytes than allowed.
var ErrTooLong = errors.New("readall: too long")

// AtMost reads r to its end. Unlike a read through an io.LimitReader, it fails if there
// are more than limit bytes.
func AtMost(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, limit)
	}
	return data, err
}

// UnlessEOF returns err, or nil for io.EOF.
func UnlessEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}
