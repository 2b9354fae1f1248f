package class

import "strings"

// NormalizePath returns the form in which paths and prefixes are compared, by RFC 3986, 6.2.2:
// characters that need no encoding are not encoded, all others are, in upper case. An encoded
// delimiter, such as a slash, is not the delimiter itself and stays encoded.
func NormalizePath(escaped string) string {
	if isNormalPath(escaped) {
		return escaped
	}
	var b strings.Builder
	b.Grow(len(escaped) + 8)
	for i := 0; i < len(escaped); i++ {
		c := escaped[i]
		if v, ok := encodedByte(escaped[i:]); ok {
			i += 2
			if !isUnreserved(v) {
				writeEncoded(&b, v)
				continue
			}
			c = v
		}
		if isPathByte(c) {
			b.WriteByte(c)
		} else {
			writeEncoded(&b, c)
		}
	}
	return b.String()
}

func isNormalPath(s string) bool {
	for i := range len(s) {
		if !isPathByte(s[i]) {
			return false
		}
	}
	return true
}

// encodedByte returns the byte that s begins with in its percent-encoded form.
func encodedByte(s string) (v byte, ok bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	high, ok1 := hexDigit(s[1])
	low, ok2 := hexDigit(s[2])
	return high<<4 | low, ok1 && ok2
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func writeEncoded(b *strings.Builder, c byte) {
	const digits = "0123456789ABCDEF"
	b.WriteByte('%')
	b.WriteByte(digits[c>>4])
	b.WriteByte(digits[c&0xf])
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// isPathByte reports whether c stands for itself in a path.
func isPathByte(c byte) bool {
	return isUnreserved(c) || strings.IndexByte("/:@!$&'()*+,;=", c) >= 0
}
