package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidNameError reports a field of a head whose name is no token by RFC 9110, section 5.1.
type InvalidNameError struct{ Name string }

func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("head has the invalid field name %q", e.Name)
}

// CheckNames returns an *InvalidNameError if the name of a field is invalid. net/http accepts blanks in
// the names of a response, also before the colon, but it does not interpret such fields, so that a
// length or an id is not seen.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidNameError{Name: name}
		}
	}
	return nil
}
