package departure

// Look has the book tell what is due.
func (b *Book) Look() { b.look() }
