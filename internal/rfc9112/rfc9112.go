// Package rfc9112 has responses in the syntax of HTTP/1.1 and near it, by section of RFC 9112, for tests of
// all readers of responses.
package rfc9112

import (
	"strconv"
	"strings"
)

// Response is a response of a server that closes its connection after it. {fields} are further fields, {body}
// is the body, {length} its length, {hex} the same in hexadecimal, and {chunk} the body as a chunk.
type Response struct{ Section, Name, Text string }

// String returns the section and the name.
func (r Response) String() string { return r.Section + " " + r.Name }

// Encode returns the bytes of the response.
func (r Response) Encode(fields, body string) string {
	hex := strconv.FormatInt(int64(len(body)), 16)
	return strings.NewReplacer("{fields}", fields, "{body}", body, "{length}", strconv.Itoa(len(body)),
		"{hex}", hex, "{chunk}", hex+"\r\n"+body+"\r\n").Replace(r.Text)
}

const (
	ok       = "HTTP/1.1 200 OK\r\n{fields}"
	length   = "Content-Length: {length}\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n"
	rest     = "{body}, and bytes behind it"
	wholeEnd = length + "\r\n{body}"
)

// Invalid are responses that are not valid or whose body is not, and that must not count as complete.
var Invalid = []Response{
	{"2.2", "CR in the reason phrase", "HTTP/1.1 200 O\rK\r\n{fields}" + wholeEnd},
	{"2.2", "CR before the end of the status line", "HTTP/1.1 200 OK\r\r\n{fields}" + wholeEnd},
	{"2.2", "CR in a value", ok + "X-Note: a\rb\r\n" + wholeEnd},
	{"2.2", "empty line before the status line", "\r\nHTTP/1.1 200 OK\r\n{fields}" + wholeEnd},
	{"2.2", "blank before the first field", "HTTP/1.1 200 OK\r\n X-Note: a\r\n{fields}" + wholeEnd},
	{"2.3", "major version 2", "HTTP/2.0 200 OK\r\n{fields}" + wholeEnd},
	{"2.3", "major version 2, until close", "HTTP/2.0 200 OK\r\n{fields}\r\n{body}"},
	{"2.3", "major version 0", "HTTP/0.9 200 OK\r\n{fields}" + wholeEnd},
	{"2.3", "long version", "HTTP/1.10 200 OK\r\n{fields}" + wholeEnd},
	{"2.3", "lower case", "http/1.1 200 OK\r\n{fields}" + wholeEnd},
	{"2.3", "other protocol", "ICY 200 OK\r\n{fields}" + wholeEnd},
	{"4", "two digits", "HTTP/1.1 20 OK\r\n{fields}" + wholeEnd},
	{"4", "four digits", "HTTP/1.1 2000 OK\r\n{fields}" + wholeEnd},
	{"4", "sign", "HTTP/1.1 +20 OK\r\n{fields}" + wholeEnd},
	{"4", "no status", "HTTP/1.1\r\n{fields}" + wholeEnd},
	{"4", "status 000", "HTTP/1.1 000 OK\r\n{fields}" + wholeEnd},
	{"4", "status 600", "HTTP/1.1 600 OK\r\n{fields}" + wholeEnd},
	{"4", "NUL in the reason phrase", "HTTP/1.1 200 O\x00K\r\n{fields}" + wholeEnd},
	{"5", "NUL in a value", ok + "X-Note: a\x00b\r\n" + wholeEnd},
	{"5", "bell in a value", ok + "X-Note: \a\r\n" + wholeEnd},
	{"5", "DEL in a value", ok + "X-Note: \x7f\r\n" + wholeEnd},
	{"5", "no colon", ok + "X-Note\r\n" + wholeEnd},
	{"5", "no name", ok + ": a\r\n" + wholeEnd},
	{"5", "control byte in a name", ok + "X-\x01Note: a\r\n" + wholeEnd},
	{"5", "DEL in a name", ok + "X-Note\x7f: a\r\n" + wholeEnd},
	{"5", "byte beyond ASCII in a name", ok + "X-N\xc3\xb6te: a\r\n" + wholeEnd},
	{"5", "blank in a name", ok + "X Note: a\r\n" + wholeEnd},
	{"5", "blank in the name of the length", ok + "Content Length: {length}\r\n\r\n" + rest},
	{"5", "tab in a name", ok + "X\tNote: a\r\n" + wholeEnd},
	{"5.1", "blank before the colon", ok + "X-Note : a\r\n" + wholeEnd},
	{"5.1", "blank before the colon of the length", ok + "Content-Length : {length}\r\n\r\n" + rest},
	{"5.1", "tab before the colon of the length", ok + "Content-Length\t: {length}\r\n\r\n" + rest},
	{"5.1", "blank before the colon of the coding", ok + "Transfer-Encoding : chunked\r\n\r\n{chunk}0\r\n\r\n"},
	{"6.1", "chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}" + chunked + "\r\n{chunk}0\r\n\r\n"},
	{"6.1", "chunks and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}" + chunked + wholeEnd},
	{"6.1", "unknown coding", ok + "Transfer-Encoding: zip\r\n\r\n{body}"},
	{"6.1", "unknown coding and chunks", ok + "Transfer-Encoding: zip, chunked\r\n\r\n{chunk}0\r\n\r\n"},
	{"6.1", "chunks twice", ok + "Transfer-Encoding: chunked, chunked\r\n\r\n{chunk}0\r\n\r\n"},
	{"6.1", "two codings", ok + chunked + chunked + "\r\n{chunk}0\r\n\r\n"},
	{"6.1", "empty coding", ok + "Transfer-Encoding:\r\n\r\n{body}"},
	{"6.3", "two lengths", ok + length + "Content-Length: 1\r\n\r\n{body}"},
	{"6.3", "list of lengths", ok + "Content-Length: {length}, 1\r\n\r\n{body}"},
	{"6.3", "positive sign", ok + "Content-Length: +{length}\r\n\r\n{body}"},
	{"6.3", "negative length", ok + "Content-Length: -1\r\n\r\n{body}"},
	{"6.3", "no number", ok + "Content-Length: all\r\n\r\n{body}"},
	{"6.3", "hexadecimal length", ok + "Content-Length: 0x4\r\n\r\n{body}"},
	{"6.3", "empty length", ok + "Content-Length:\r\n\r\n{body}"},
	{"6.3", "length beyond 64 bits", ok + "Content-Length: 18446744073709551620\r\n\r\n{body}"},
	{"7.1", "no hexadecimal size", ok + chunked + "\r\ng\r\n{body}\r\n0\r\n\r\n"},
	{"7.1", "negative size", ok + chunked + "\r\n-4\r\n{body}\r\n0\r\n\r\n"},
	{"7.1", "empty size", ok + chunked + "\r\n\r\n{body}\r\n0\r\n\r\n"},
	{"7.1", "size beyond 64 bits", ok + chunked + "\r\n10000000000000004\r\n{body}\r\n0\r\n\r\n"},
	{"7.1", "blank before a size", ok + chunked + "\r\n {chunk}0\r\n\r\n"},
	{"7.1", "chunk longer than its size", ok + chunked + "\r\n1\r\n{body}\r\n0\r\n\r\n"},
	{"7.1", "no last chunk", ok + chunked + "\r\n{chunk}"},
	{"7.1", "last chunk alone", ok + chunked + "\r\n{chunk}0\r\n"},
	{"7.1.2", "trailer without a colon", ok + chunked + "\r\n{chunk}0\r\nX-Note\r\n\r\n"},
	{"7.1.2", "trailer without its end", ok + chunked + "\r\n{chunk}0\r\nX-Note: a\r\n"},
	{"8", "shorter than its length", ok + "Content-Length: 1{length}\r\n\r\n{body}"},
}

// Valid are responses with the status 200 and the whole body.
var Valid = []Response{
	{"2.2", "LF ends lines", "HTTP/1.1 200 OK\n" + "{fields}Content-Length: {length}\n\n{body}"},
	{"2.3", "HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n{fields}" + wholeEnd},
	{"2.3", "HTTP/1.0 until close", "HTTP/1.0 200 OK\r\n{fields}\r\n{body}"},
	{"2.3", "higher minor version", "HTTP/1.2 200 OK\r\n{fields}" + wholeEnd},
	{"4", "no reason phrase", "HTTP/1.1 200\r\n{fields}" + wholeEnd},
	{"4", "empty reason phrase", "HTTP/1.1 200 \r\n{fields}" + wholeEnd},
	{"4", "tab and a byte beyond ASCII in the reason phrase", "HTTP/1.1 200 O\tK\xe4\r\n{fields}" + wholeEnd},
	{"5", "byte beyond ASCII in a value", ok + "X-Note: \xe4\r\n" + wholeEnd},
	{"5", "empty value", ok + "X-Note:\r\n" + wholeEnd},
	{"5", "all bytes of a token in a name", ok + "aZ09!#$%&'*+-.^_`|~: a\r\n" + wholeEnd},
	{"5.1", "blanks around a value", ok + "X-Note: \t a \t\r\n" + wholeEnd},
	{"5.2", "folded value", ok + "X-Note: a\r\n b\r\n\t: c\r\n" + wholeEnd},
	{"5.2", "folded length", ok + "Content-Length:\r\n {length}\r\n\r\n{body}"},
	{"6.1", "chunks override a length", ok + "Content-Length: 1\r\n" + chunked + "\r\n{chunk}0\r\n\r\n"},
	{"6.1", "coding in upper case", ok + "Transfer-Encoding: CHUNKED\r\n\r\n{chunk}0\r\n\r\n"},
	{"6.3", "the same length twice", ok + length + wholeEnd},
	{"6.3", "until close", ok + "\r\n{body}"},
	{"7.1.1", "chunk extension", ok + chunked + "\r\n{hex};x=\"y\"\r\n{body}\r\n0\r\n\r\n"},
	{"7.1.2", "trailer", ok + chunked + "\r\n{chunk}0\r\nContent-Length: 1\r\n\r\n"},
	{"9110 15.2", "interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + wholeEnd},
}
