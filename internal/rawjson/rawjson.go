// Package rawjson splits JSON into the texts of its parts, without decoding them: a part that a decoder rejects, for its depth or
// its numbers, leaves the others readable.
package rawjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors of Fields and Elements, with the offset at which they were found.
var (
	errSyntax    = errors.New("not valid JSON")
	errNoObject  = errors.New("not an object")
	errNoArray   = errors.New("not an array")
	errTruncated = errors.New("ends early")
)

// Fields returns the texts of an object's values by their keys; the last one of a key that occurs several times. The texts share
// memory with the object.
func Fields(text []byte) (map[string]json.RawMessage, error) {
	s := &scanner{text: text}
	fields := map[string]json.RawMessage{}
	err := s.members('{', '}', errNoObject, func() error {
		key, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(key, &name) != nil {
			return s.fail(errSyntax)
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		value, err := s.value()
		fields[name] = value
		return err
	})
	return fields, err
}

// Elements returns the texts of an array's elements. The texts share memory with the array.
func Elements(text []byte) ([]json.RawMessage, error) {
	s := &scanner{text: text}
	var elements []json.RawMessage
	err := s.members('[', ']', errNoArray, func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// scanner finds the ends of values. It looks at brackets and strings only.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) fail(err error) error { return fmt.Errorf("offset %d: %w", s.at, err) }

// next skips white space and returns the byte after it; 0 at the end.
func (s *scanner) next() byte {
	for s.at < len(s.text) && strings.IndexByte(" \t\r\n", s.text[s.at]) >= 0 {
		s.at++
	}
	if s.at == len(s.text) {
		return 0
	}
	return s.text[s.at]
}

func (s *scanner) expect(c byte) error {
	if s.next() != c {
		return s.fail(errSyntax)
	}
	s.at++
	return nil
}

// members calls member for each member of the object or array that the text consists of.
func (s *scanner) members(open, end byte, errWrongType error, member func() error) error {
	if s.next() != open {
		return s.fail(errWrongType)
	}
	s.at++
	if s.next() == end {
		s.at++
		return s.atEnd()
	}
	for {
		if err := member(); err != nil {
			return err
		}
		switch s.next() {
		case ',':
			s.at++
		case end:
			s.at++
			return s.atEnd()
		default:
			return s.fail(errSyntax)
		}
	}
}

func (s *scanner) atEnd() error {
	if s.next(); s.at < len(s.text) {
		return s.fail(errSyntax)
	}
	return nil
}

// value returns the text of the value that begins here. Brackets are counted, not matched by recursion, so that no depth exhausts
// the stack.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start := s.at
	for depth := 0; s.at < len(s.text); {
		switch c := s.text[s.at]; c {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			if depth == 0 {
				return s.scalar(start)
			}
			depth--
			s.at++
		case ',', ':':
			if depth == 0 {
				return s.scalar(start)
			}
			s.at++
			continue
		case ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.scalar(start)
			}
			s.at++
			continue
		default:
			s.at++
			continue
		}
		if depth == 0 {
			return s.text[start:s.at], nil
		}
	}
	return nil, s.fail(errTruncated)
}

// scalar returns the text of a value without brackets or quotes that ends here.
func (s *scanner) scalar(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, s.fail(errSyntax)
	}
	return s.text[start:s.at], nil
}

func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at = min(s.at+1, len(s.text)-1)
		case '"':
			s.at++
			return nil
		}
	}
	return s.fail(errTruncated)
}
