package chestnutcleat

// TakeRequest asks the owner of a customer for tokens of the customer's rate limit.
type TakeRequest struct {
	ID       RequestID  `json:"id"`
	Customer CustomerID `json:"customer"`
	Count    int        `json:"count"`
}
