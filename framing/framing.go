// Package framing tells what determines the end of an HTTP message body (RFC 9112,
// section 6.3), and reads heads of bounded length. Only a delimited body shows by itself that it
// is complete.
package framing

import "net/http"

// Framing is what determines the end of a message body.
type Framing uint8

// The framings. The zero value is the one that says least about completeness.
const (
	UntilClose Framing = iota // the end of the connection
	Length                    // a known length, including a body that the status excludes
	Chunked                   // the last chunk, or an equivalent end of the body
)

// String returns the framing's name.
func (f Framing) String() string {
	return [...]string{"until_close", "length", "chunked"}[f]
}

// Delimited reports whether reading a body to its end shows that it is complete. The end of
// a body that is not delimited may also be that of a broken connection.
func (f Framing) Delimited() bool { return f != UntilClose }

// Of returns the framing of the body of a response as it was received. A body that the
// transport has decompressed counts as delimited: its format has an end of its own.
func Of(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return Length
	case len(resp.TransferEncoding) > 0 || resp.ProtoMajor >= 2 || resp.Uncompressed:
		return Chunked
	}
	return UntilClose
}
