//! Shares of the engines between trainers.

/// Returns how many of `capacity` generations each trainer may run.
///
/// Each is sure of the same share, and lends what it can't use to those that
/// can: a trainer that waits for its own optimiser costs the others nothing,
/// and one that asks for everything can't slow the others below their share.
///
/// # Example
///
/// ```
/// use hibiscusroad::train::shares;
///
/// assert_eq!(shares(100, &[20, 500]), [20, 80]);
/// assert_eq!(shares(100, &[400, 500]), [50, 50]);
/// ```
#[must_use]
pub fn shares(capacity: usize, wanted: &[usize]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|n| wanted[*n]);
    let mut given = vec![0; wanted.len()];
    let mut left = capacity;
    for (rank, n) in order.into_iter().enumerate() {
        let fair = left / (wanted.len() - rank);
        given[n] = wanted[n].min(fair);
        left -= given[n];
    }
    given
}
