//! Fair sharing of the engines between trainers.

/// Returns how many of `capacity` generations each trainer may run (max-min fairness).
///
/// No trainer can reduce another one's share below the equal share, and capacity that
/// a trainer doesn't use goes to the others.
///
/// # Example
///
/// ```
/// use hibiscusroad::train::fair_shares;
///
/// assert_eq!(fair_shares(100, &[20, 500]), [20, 80]);
/// assert_eq!(fair_shares(100, &[400, 500]), [50, 50]);
/// ```
#[must_use]
pub fn fair_shares(capacity: usize, demands: &[usize]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| demands[*i]);
    let mut granted = vec![0; demands.len()];
    let mut remaining = capacity;
    for (rank, i) in order.into_iter().enumerate() {
        let equal_share = remaining / (demands.len() - rank);
        granted[i] = demands[i].min(equal_share);
        remaining -= granted[i];
    }
    granted
}
